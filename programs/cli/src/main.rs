//! The `vanewharf` command line: the lab, cluster traces, and checks of what an operator has written.

mod system;

use clap::{Parser, Subcommand, ValueEnum};
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use vanewharf_config::configuration::Config as SystemConfig;
use vanewharf_config::settings::Settings;
use vanewharf_gateway_settings::Options;
use vanewharf_maintenance::{BackendNode, MaintenanceSchedule, Timestamp, WindowState};
use vanewharf_simulator::arrivals::traced;
use vanewharf_simulator::experiment::Experiment;
use vanewharf_simulator::run::{Outcome, run, run_with};
use vanewharf_simulator::{plots, report, sweep};
use vanewharf_system_simulator::cost::{cost_plot, measure_cost};
use vanewharf_system_simulator::outcome::RunOutcome;
use vanewharf_system_simulator::parallel::{simulate_hard_seeds, simulate_schedules, simulate_seeds};
use vanewharf_system_simulator::schedule::Schedule;
use vanewharf_system_simulator::topology::SimulationParameters;
use vanewharf_traces as traces;

#[derive(Parser)]
#[command(name = "vanewharf", version, about = "Keeps each customer of a shared back end to its plan")]
struct Call {
    /// How the log is written to standard error.
    #[arg(long, global = true, value_enum, default_value = "text")]
    log_format: LogFormat,
    #[command(subcommand)]
    what: What,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

#[derive(Subcommand)]
enum What {
    /// The emulated fleet.
    #[command(subcommand)]
    Lab(Lab),
    /// Cluster traces in CSV.
    #[command(subcommand)]
    Trace(Trace),
    /// The whole system.
    #[command(subcommand)]
    System(system::System),
    /// What an operator has written.
    #[command(subcommand)]
    Config(Config),
    /// The hours in which contracts let nodes be drained: for each contract whether it is open, until when, or when it opens.
    Hours {
        file: PathBuf,
        /// At this time, such as 2026-12-24T22:00:00Z, in place of now.
        #[arg(long)]
        at: Option<String>,
        /// Only for the backend ZONE/SERVICE/ID: all contracts that cover it together.
        #[arg(long)]
        node: Option<String>,
    },
}

#[derive(Subcommand)]
enum Lab {
    /// Run an experiment, or the trace that it names.
    Run {
        experiment: PathBuf,
        /// A folder for the summary, the figures and the plots.
        #[arg(long)]
        out: Option<PathBuf>,
        /// In place of the experiment's own; several are run one after the other.
        #[arg(long, value_delimiter = ',')]
        seed: Vec<u64>,
        /// Fail where the module breaks a rule.
        #[arg(long)]
        strict: bool,
    },
    /// Play short days of the whole system, with troubles drawn by seed, and judge what was seen.
    System {
        /// How many days.
        #[arg(long, default_value_t = 100)]
        seeds: u64,
        /// The first day's seed; the others follow it.
        #[arg(long, default_value_t = 1)]
        from: u64,
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=9))]
        offices: u64,
        #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=2000))]
        doors: u64,
        /// Seconds in which troubles may begin.
        #[arg(long, default_value_t = 14)]
        seconds: u64,
        /// Requests a second over all doors.
        #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(1..))]
        rate: u64,
        /// The most troubles of one day.
        #[arg(long, default_value_t = 4)]
        troubles: u64,
        /// Threads; each plays a day of its own.
        #[arg(long, default_value_t = std::thread::available_parallelism().map_or(1, usize::from))]
        jobs: usize,
        /// The worst days: races, orders that come again, changes of the voters, machines replaced, wiped and told other
        /// seeds, hundreds of changes, long cuts, clocks that run apart.
        #[arg(long)]
        worst: bool,
        /// Days that are written down, in place of drawn ones (lab/days/*.toml).
        #[arg(long)]
        day: Vec<PathBuf>,
        /// Tell each day's troubles, not only those of days on which a rule broke.
        #[arg(long)]
        verbose: bool,
    },
    /// What the control plane costs a door, and a postmaster, by the fleet's size.
    SystemCost {
        #[arg(long, value_delimiter = ',', default_values_t = [8, 32, 92, 300, 1000],
            value_parser = clap::value_parser!(u64).range(1..=2000))]
        doors: Vec<u64>,
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=13))]
        offices: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// A folder for the figures and the plot.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Run an experiment at each value of its swept keys.
    Sweep {
        experiment: PathBuf,
        #[arg(long)]
        out: Option<PathBuf>,
        #[arg(long, value_delimiter = ',')]
        seed: Vec<u64>,
    },
}

#[derive(Subcommand)]
enum Trace {
    /// Read a trace by an experiment's mapping and write it in the project's own columns.
    Import { experiment: PathBuf, trace: PathBuf, out: PathBuf },
    /// Tell what a trace holds and what would be left out.
    Inspect { experiment: PathBuf, trace: PathBuf },
}

#[derive(Subcommand)]
enum Config {
    /// Check a door's file, a system's settings or an operator's configuration (.json), or an experiment (.toml).
    Check { file: PathBuf },
}

fn main() -> ExitCode {
    let call = Call::parse();
    let log = tracing_subscriber::fmt().with_writer(std::io::stderr).with_target(false);
    match call.log_format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().init(),
    }
    let done = match call.what {
        What::Lab(Lab::Run { experiment, out, seed, strict }) => {
            lab_run(&experiment, out.as_deref(), &seed, strict)
        }
        What::Lab(Lab::System {
            seeds,
            from,
            offices,
            doors,
            seconds,
            rate,
            troubles,
            jobs,
            worst,
            day,
            verbose,
        }) => {
            let shape = SimulationParameters {
                controllers: offices as usize,
                proxies: doors as usize,
                seconds,
                requests_per_second: rate,
                max_faults: troubles,
            };
            let which = match (day.is_empty(), worst) {
                (false, _) => Days::Planned(&day),
                (true, worst) => Days::Drawn { from, seeds, worst },
            };
            lab_system(shape, &which, jobs, verbose)
        }
        What::Lab(Lab::SystemCost { doors, offices, seed, out }) => {
            lab_cost(&doors, offices as usize, seed, out.as_deref())
        }
        What::Lab(Lab::Sweep { experiment, out, seed }) => lab_sweep(&experiment, out.as_deref(), &seed),
        What::Trace(Trace::Import { experiment, trace, out }) => import(&experiment, &trace, Some(&out)),
        What::Trace(Trace::Inspect { experiment, trace }) => import(&experiment, &trace, None),
        What::Config(Config::Check { file }) => check(&file),
        What::Hours { file, at, node } => hours(&file, at.as_deref(), node.as_deref()),
        What::System(what) => {
            what.run();
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            tracing::error!("{reason}");
            ExitCode::FAILURE
        }
    }
}

fn text(path: &Path) -> Result<String, String> {
    fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))
}

fn experiment(path: &Path) -> Result<(String, Experiment), String> {
    let text = text(path)?;
    let experiment = Experiment::parse(&text).map_err(|fault| format!("{}: {fault}", path.display()))?;
    Ok((text, experiment))
}

fn write(folder: &Path, name: &str, what: impl AsRef<[u8]>) -> Result<(), String> {
    let path = folder.join(name);
    fs::write(&path, what).map_err(|error| format!("{}: {error}", path.display()))
}

fn draw(folder: &Path, prefix: &str, plot: &plots::Plot) -> Result<(), String> {
    let undrawn = |error: plots::DrawError| error.to_string();
    write(folder, &format!("{prefix}{}.svg", plot.name), plot.svg().map_err(undrawn)?)?;
    write(folder, &format!("{prefix}{}.png", plot.name), plot.png().map_err(undrawn)?)
}

fn lab_run(path: &Path, out: Option<&Path>, seeds: &[u64], strict: bool) -> Result<(), String> {
    let (_, mut experiment) = experiment(path)?;
    let rows = match &experiment.trace {
        Some(trace) => Some(rows(&experiment, &path.with_file_name(&trace.file))?),
        None => None,
    };
    if let Some(rows) = &rows {
        experiment.length_s = rows.last().map_or(1.0, |row| row.time_s.max(1.0));
    }
    let seeds = if seeds.is_empty() { vec![experiment.seed] } else { seeds.to_vec() };
    let mut outcomes: Vec<Outcome> = Vec::new();
    for seed in seeds {
        let outcome = match &rows {
            Some(rows) => run_with(&experiment, &traced(&experiment, rows, seed), seed),
            None => run(&experiment, seed),
        };
        tracing::info!(
            seed,
            score = outcome.score,
            g = outcome.balancer.g,
            floor = outcome.floor,
            top = outcome.top,
            "ran"
        );
        for broken in outcome.balancer.violations.iter().take(3) {
            tracing::warn!(seed, rule = %broken.rule, at_s = broken.at.seconds(), what = broken.what, "rule broken");
        }
        outcomes.push(outcome);
    }
    if let Some(folder) = out {
        fs::create_dir_all(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
        write(folder, "summary.md", report::summary(&experiment, &outcomes))?;
        for outcome in &outcomes {
            let prefix = format!("seed-{}-", outcome.seed);
            write(folder, &format!("{prefix}seconds.csv"), report::seconds_csv(outcome))?;
            write(folder, &format!("{prefix}quantiles.csv"), report::quantiles_csv(outcome))?;
            plots::of_run(outcome).iter().try_for_each(|plot| draw(folder, &prefix, plot))?;
        }
    } else {
        print!("{}", report::summary(&experiment, &outcomes));
    }
    let broken = outcomes.iter().filter(|outcome| !outcome.balancer.violations.is_empty()).count();
    if strict && broken > 0 {
        Err(format!("{broken} of {} runs broke a rule", outcomes.len()))
    } else {
        Ok(())
    }
}

enum Days<'a> {
    Drawn { from: u64, seeds: u64, worst: bool },
    Planned(&'a [PathBuf]),
}

fn lab_system(shape: SimulationParameters, which: &Days, jobs: usize, verbose: bool) -> Result<(), String> {
    let begun = std::time::Instant::now();
    let (mut broken, mut asked, mut served, mut refused, mut ordered, mut acknowledged) = (0, 0, 0, 0, 0, 0);
    let (mut seconds, mut late, mut door, mut office) = (0.0, 1.0f64, 0, 0);
    let mut count = 0u64;
    let mut tell = |name: &str, day: RunOutcome| {
        count += 1;
        if verbose || !day.violations.is_empty() {
            println!("{name} seed {}", day.seed);
            day.events.iter().for_each(|told| println!("    {told}"));
        }
        // Once each, and no more than fit on a page.
        let mut said = BTreeSet::new();
        for one in
            day.violations.iter().filter(|one| said.insert((one.rule, one.description.as_str()))).take(8)
        {
            println!("  {} broken at {:.2} s: {}", one.rule, one.at, one.description);
        }
        if verbose {
            println!(
                "  asked {}, served {}, refused {}, late {:.3}",
                day.requests, day.served, day.rejected, day.final_success_ratio
            );
        }
        broken += u64::from(!day.violations.is_empty());
        (asked, served, refused) = (asked + day.requests, served + day.served, refused + day.rejected);
        (ordered, acknowledged) = (ordered + day.commands, acknowledged + day.acknowledged);
        (seconds, late) = (seconds + day.seconds, late.min(day.final_success_ratio));
        (door, office) = (door + day.proxy_traffic.bytes, office + day.controller_traffic.bytes);
    };
    match which {
        Days::Drawn { from, seeds, worst: true } => {
            simulate_hard_seeds(shape, *from, *seeds, jobs, |day| tell("worst", day))
        }
        Days::Drawn { from, seeds, worst: false } => {
            simulate_seeds(shape, *from, *seeds, jobs, |day| tell("short", day))
        }
        Days::Planned(files) => {
            let plans = files
                .iter()
                .map(|file| Schedule::read(file))
                .collect::<Result<Vec<_>, _>>()
                .map_err(|error| error.to_string())?;
            simulate_schedules(plans, jobs, tell);
        }
    }
    let took = begun.elapsed().as_secs_f64();
    println!(
        "{count} days{}, {seconds:.0} s of theirs in {took:.1} s: {:.0} days a minute",
        match which {
            Days::Drawn { .. } =>
                format!(" of {} postmasters and {} doors", shape.controllers, shape.proxies),
            Days::Planned(_) => String::new(),
        },
        count as f64 * 60.0 / took
    );
    println!(
        "requests: {asked}, served {served}, refused {refused}; least served at a day's quiet end {late:.3}"
    );
    println!("orders: {ordered}, acknowledged {acknowledged}");
    println!(
        "control traffic: {:.0} bytes a second from each door's machine, {:.0} from each postmaster's",
        door as f64 / seconds,
        office as f64 / seconds
    );
    if broken > 0 { Err(format!("rules broken on {broken} of {count} days")) } else { Ok(()) }
}

fn lab_cost(doors: &[u64], offices: usize, seed: u64, out: Option<&Path>) -> Result<(), String> {
    vanewharf_runtime::log::disable();
    let mut csv = String::from(
        "doors,door_bytes_per_s,door_messages_per_s,sorter_ms_per_s,postmaster_bytes_per_s,postmaster_messages_per_s,postmaster_ms_per_s\n",
    );
    let mut costs = Vec::new();
    for &doors in doors {
        let shape = SimulationParameters {
            controllers: offices,
            proxies: doors as usize,
            seconds: 12,
            requests_per_second: 200,
            max_faults: 0,
        };
        let cost = measure_cost(shape, seed);
        csv.push_str(&format!(
            "{},{:.0},{:.2},{:.3},{:.0},{:.1},{:.3}\n",
            cost.proxies,
            cost.proxy_bytes,
            cost.proxy_messages,
            cost.agent_cpu_ms,
            cost.controller_bytes,
            cost.controller_messages,
            cost.controller_cpu_ms
        ));
        costs.push(cost);
    }
    print!("{csv}");
    let Some(folder) = out else {
        return Ok(());
    };
    fs::create_dir_all(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    write(folder, "cost-per-door.csv", csv)?;
    draw(folder, "", &cost_plot(&costs))
}

fn lab_sweep(path: &Path, out: Option<&Path>, seeds: &[u64]) -> Result<(), String> {
    let (text, experiment) = experiment(path)?;
    let seeds = if seeds.is_empty() { vec![experiment.seed] } else { seeds.to_vec() };
    let told = |point: &sweep::Point| {
        let values: Vec<_> = point.values.iter().map(ToString::to_string).collect();
        let broken = point.outcomes.iter().any(|one| !one.balancer.violations.is_empty());
        tracing::info!(values = values.join(", "), score = point.score(), broken, "point");
    };
    let sweep::SweepResult { keys, points } =
        sweep::sweep(&text, &seeds, told).map_err(|fault| fault.to_string())?;
    let summary = report::sweep_summary(&experiment, &keys, &points);
    let Some(folder) = out else {
        print!("{summary}");
        return Ok(());
    };
    fs::create_dir_all(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    write(folder, "sweep.md", summary)?;
    write(folder, "sweep.csv", report::sweep_csv(&keys, &points))?;
    draw(folder, "", &plots::of_sweep(&keys, &points))
}

/// A trace's rows; what was left out is told by its kind.
fn rows(experiment: &Experiment, path: &Path) -> Result<Vec<traces::Row>, String> {
    let mapping = experiment.trace.as_ref().map(|trace| &trace.mapping);
    let mapping = mapping.ok_or("the experiment has no trace.mapping")?;
    let plans: Vec<_> = experiment.plan.iter().map(|plan| plan.name.clone()).collect();
    let file = fs::File::open(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let taken = traces::read_trace(std::io::BufReader::new(file), mapping, &plans);
    let taken = taken.map_err(|refused| format!("{}: {refused}", path.display()))?;
    for (defect, rejected) in &taken.rejected {
        tracing::warn!(count = rejected.count, first_line = rejected.first_line, "left out: {defect}");
    }
    tracing::info!(rows = taken.rows.len(), left_out = taken.rejected_count(), "trace read");
    if taken.rows.is_empty() {
        Err(format!("{}: no row can be used", path.display()))
    } else {
        Ok(taken.rows)
    }
}

fn import(of: &Path, trace: &Path, out: Option<&Path>) -> Result<(), String> {
    let (_, experiment) = experiment(of)?;
    let rows = rows(&experiment, trace)?;
    let Some(out) = out else {
        let glance = traces::summarize_trace(&rows);
        println!("{} txns of {} customers in {:.1} s", glance.rows, glance.customers, glance.seconds);
        println!("{} in the busiest second", glance.peak_rows_per_second);
        for (product, totals) in &glance.by_product {
            println!("{product}: {} txns, {:.0} units", totals.rows, totals.units);
        }
        return Ok(());
    };
    let file = fs::File::create(out).map_err(|error| format!("{}: {error}", out.display()))?;
    traces::write_trace(std::io::BufWriter::new(file), &rows).map_err(|refused| refused.to_string())
}

fn hours(file: &Path, at: Option<&str>, node: Option<&str>) -> Result<(), String> {
    let named = |why: String| format!("{}: {why}", file.display());
    let table =
        MaintenanceSchedule::parse(text(file)?.as_bytes()).map_err(|fault| named(fault.to_string()))?;
    let now = match at {
        Some(at) => at.parse().map_err(|why| format!("--at {at}: {why}"))?,
        None => Timestamp::now(),
    };
    let told = |name: &str, standing: WindowState| match standing {
        WindowState::Open { until } => println!("{name}: open until {until}"),
        WindowState::Closed { opens: Some(opens) } => println!("{name}: closed, opens {opens}"),
        WindowState::Closed { opens: None } => println!("{name}: closed, and no opening is in sight"),
    };
    if let Some(node) = node {
        let parts: Vec<_> = node.split('/').collect();
        let [zone, service, id] = parts.as_slice() else {
            return Err(format!("--node {node}: ZONE/SERVICE/ID is wanted"));
        };
        let backend = BackendNode { zone, service, id };
        let covering: Vec<_> = table.contracts_covering(backend).map(|(name, _)| name).collect();
        println!("{node}: {} contracts: {}", covering.len(), covering.join(", "));
        told(node, table.window_state(backend, now));
        return Ok(());
    }
    for (name, contract) in &table.contracts {
        told(name, contract.window_state(now));
        contract.closure_reason(now).into_iter().for_each(|why| println!("    {why}"));
    }
    Ok(())
}

fn check(file: &Path) -> Result<(), String> {
    let named = |why: String| format!("{}: {why}", file.display());
    if file.extension().is_some_and(|end| end == "toml") {
        let (_, experiment) = experiment(file)?;
        println!(
            "{}: an experiment of {} doors and {} backends",
            experiment.name, experiment.fleet.doors, experiment.fleet.backends
        );
        return Ok(());
    }
    let whole: serde_json::Value = serde_json::from_str(&text(file)?)
        .map_err(|error| named(format!("line {}: {error}", error.line())))?;
    // What it is shows by what only it has.
    if whole.get("contracts").is_some() {
        let table =
            MaintenanceSchedule::parse(text(file)?.as_bytes()).map_err(|fault| named(fault.to_string()))?;
        println!("{}: {} contracts", file.display(), table.contracts.len());
        return Ok(());
    }
    if whole.get("node_name").is_some() {
        let settings = Settings::parse(text(file)?.as_bytes()).map_err(|fault| named(fault.to_string()))?;
        println!("{}: {} of {} would start by these settings", file.display(), settings.name, settings.zone);
        return Ok(());
    }
    if whole.get("routes").is_some() || whole.get("revision").is_some() {
        let config = SystemConfig::parse(text(file)?.as_bytes()).map_err(|fault| named(fault.to_string()))?;
        let customers = config.customers.as_ref().map_or(0, |customers| customers.len());
        println!(
            "{}: r{} with {} routes to {} services and {customers} tenants would be taken",
            file.display(),
            config.revision.0,
            config.routes.len(),
            config.services.len()
        );
        return Ok(());
    }
    let settings = whole.get("settings").unwrap_or(&whole);
    let options = Options::nested(settings);
    vanewharf_gateway_settings::check(&options, None).map_err(|refused| named(refused.to_string()))?;
    println!("{}: a door would start by these settings", file.display());
    Ok(())
}
