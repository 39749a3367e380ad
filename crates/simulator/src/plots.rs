//! Plots, in SVG by plotters and in PNG from the same drawing. No font of the system is used: letters of the PNG are the
//! eight-by-eight pixels of the font8x8 crate, so that every machine draws the same.

use crate::report::policies;
use crate::run::Outcome;
use crate::score::SecondStats;
use crate::sweep::Point;
use font8x8::UnicodeFonts;
use plotters::prelude::*;
use plotters_backend::{BackendColor, BackendCoord, BackendTextStyle, DrawingBackend, DrawingErrorKind};
use std::convert::Infallible;
use std::fmt;
use thiserror::Error;

/// Width and height of a plot in pixels.
const SIZE: (u32, u32) = (960, 480);

/// One line of a plot.
pub struct Line {
    /// Its name in the legend.
    pub name: String,
    /// Its points, across and up.
    pub points: Vec<(f64, f64)>,
}

/// A plot of lines.
pub struct Plot {
    /// The name of its file.
    pub name: &'static str,
    /// What stands above it.
    pub title: String,
    /// What the axis across stands for.
    pub across: String,
    /// What is drawn.
    pub lines: Vec<Line>,
    /// A bound, drawn through as a line of its own.
    pub bound: Option<f64>,
}

/// A plot could not be drawn; the text is that of the library that draws.
#[derive(Debug, Error)]
#[error("cannot draw: {0}")]
pub struct DrawError(String);

impl DrawError {
    fn new(error: impl fmt::Display) -> DrawError {
        DrawError(error.to_string())
    }
}

/// The plots of a run.
pub fn of_run(outcome: &Outcome) -> Vec<Plot> {
    let seconds = &outcome.balancer.seconds;
    let line = |name: &str, of: &dyn Fn(&SecondStats) -> f64| {
        let points = seconds.iter().enumerate().map(|(no, second)| (no as f64, of(second)));
        Line { name: name.to_owned(), points: points.collect() }
    };
    let share = |of: &[SecondStats]| {
        let points = of.iter().enumerate().filter(|(_, second)| second.offered > 0.0);
        points.map(|(no, second)| (no as f64, (second.served / second.offered).min(1.2))).collect()
    };
    let served = policies(outcome)
        .map(|(name, record)| Line { name: name.to_owned(), points: share(&record.seconds) });
    let plot = |name, title: &str, lines, bound| Plot {
        name,
        title: title.to_owned(),
        across: "seconds".to_owned(),
        lines,
        bound,
    };
    vec![
        plot("served", "worth served over worth offered", served.into_iter().collect(), None),
        plot(
            "answers",
            "first tries a second, by what became of them",
            vec![
                line("came", &|second| second.first_tries as f64),
                line("in time", &|second| second.in_time as f64),
                line("late", &|second| second.late as f64),
                line("declined", &|second| second.rejected as f64),
                line("failed", &|second| second.failed as f64),
            ],
            None,
        ),
        plot(
            "load",
            "work begun and capacity, core seconds a second",
            vec![
                line("work", &|second| second.worked_ms / 1_000.0),
                line("capacity", &|second| second.capacity_ms / 1_000.0),
            ],
            None,
        ),
        plot(
            "margins",
            "how near the rules: ceilings and cold backends, 1 is over",
            vec![
                line("ceiling", &|second| second.nearest_hard_limit.max(0.0)),
                line("cold backend", &|second| second.nearest_overload),
            ],
            Some(1.0),
        ),
    ]
}

/// Score against the first swept key; a line for each value of a second.
pub fn of_sweep(keys: &[String], points: &[Point]) -> Plot {
    let number = |value: &toml::Value, no: usize| {
        let float = value.as_float().or_else(|| value.as_integer().map(|whole| whole as f64));
        float.unwrap_or(no as f64)
    };
    let mut lines: Vec<Line> = Vec::new();
    for (no, point) in points.iter().enumerate() {
        let name = point.values.get(1).map_or("score".to_owned(), |value| format!("{} = {value}", keys[1]));
        let at = (number(&point.values[0], no), point.score());
        match lines.iter_mut().find(|line| line.name == name) {
            Some(line) => line.points.push(at),
            None => lines.push(Line { name, points: vec![at] }),
        }
    }
    let title = "score by what was swept; 0 where a rule broke".to_owned();
    Plot { name: "score", title, across: keys[0].clone(), lines, bound: None }
}

impl Plot {
    /// The plot as an SVG file.
    ///
    /// # Errors
    /// If it cannot be drawn.
    pub fn svg(&self) -> Result<String, DrawError> {
        let mut text = String::new();
        self.draw(SVGBackend::with_string(&mut text, SIZE).into_drawing_area())?;
        Ok(text)
    }

    /// The plot as a PNG file.
    ///
    /// # Errors
    /// If it cannot be drawn or encoded.
    pub fn png(&self) -> Result<Vec<u8>, DrawError> {
        let mut pixels = vec![0xff; (SIZE.0 * SIZE.1 * 3) as usize];
        self.draw(Pixels { pixels: &mut pixels }.into_drawing_area())?;
        let mut bytes = Vec::new();
        let mut encoder = png::Encoder::new(&mut bytes, SIZE.0, SIZE.1);
        encoder.set_color(png::ColorType::Rgb);
        let mut writer = encoder.write_header().map_err(DrawError::new)?;
        writer.write_image_data(&pixels).map_err(DrawError::new)?;
        drop(writer);
        Ok(bytes)
    }

    fn draw<D: DrawingBackend>(&self, area: DrawingArea<D, plotters::coord::Shift>) -> Result<(), DrawError> {
        area.fill(&WHITE).map_err(DrawError::new)?;
        let all = || self.lines.iter().flat_map(|line| line.points.iter().copied());
        let least = all().map(|point| point.0).fold(f64::MAX, f64::min);
        let most = all().map(|point| point.0).fold(f64::MIN, f64::max);
        let (least, most) = if least < most { (least, most) } else { (0.0, 1.0) };
        let high = all().map(|point| point.1).chain(self.bound).fold(0.0, f64::max).max(1e-9) * 1.05;
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, ("monospace", 16))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(least..most, 0.0..high)
            .map_err(DrawError::new)?;
        let mut mesh = chart.configure_mesh();
        mesh.x_desc(&self.across).label_style(("monospace", 12)).axis_desc_style(("monospace", 12));
        mesh.draw().map_err(DrawError::new)?;
        if let Some(bound) = self.bound {
            let line = [(least, bound), (most, bound)];
            chart.draw_series(LineSeries::new(line, BLACK.mix(0.5))).map_err(DrawError::new)?;
        }
        for (no, line) in self.lines.iter().enumerate() {
            let color = Palette99::pick(no).to_rgba();
            let series =
                LineSeries::new(line.points.iter().copied(), ShapeStyle::from(color).stroke_width(2));
            let drawn = chart.draw_series(series).map_err(DrawError::new)?;
            drawn
                .label(format!("{}   ", line.name))
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        let mut labels = chart.configure_series_labels();
        labels.background_style(WHITE.mix(0.85)).border_style(BLACK.mix(0.3)).label_font(("monospace", 12));
        labels.draw().map_err(DrawError::new)?;
        area.present().map_err(DrawError::new)
    }
}

/// Pixels in rows of red, green and blue, with letters of its own.
struct Pixels<'a> {
    pixels: &'a mut [u8],
}

/// Width and height of a letter in pixels.
const LETTER: i32 = 8;

impl DrawingBackend for Pixels<'_> {
    type ErrorType = Infallible;

    fn get_size(&self) -> (u32, u32) {
        SIZE
    }

    fn ensure_prepared(&mut self) -> Result<(), DrawingErrorKind<Infallible>> {
        Ok(())
    }

    fn present(&mut self) -> Result<(), DrawingErrorKind<Infallible>> {
        Ok(())
    }

    fn draw_pixel(
        &mut self,
        at: BackendCoord,
        color: BackendColor,
    ) -> Result<(), DrawingErrorKind<Infallible>> {
        let (x, y) = at;
        if x < 0 || y < 0 || x >= SIZE.0 as i32 || y >= SIZE.1 as i32 {
            return Ok(());
        }
        let from = ((y as u32 * SIZE.0 + x as u32) * 3) as usize;
        let (red, green, blue) = color.rgb;
        for (pixel, ink) in self.pixels[from..from + 3].iter_mut().zip([red, green, blue]) {
            *pixel = (f64::from(*pixel) * (1.0 - color.alpha) + f64::from(ink) * color.alpha).round() as u8;
        }
        Ok(())
    }

    fn draw_text<S: BackendTextStyle>(
        &mut self,
        text: &str,
        style: &S,
        at: BackendCoord,
    ) -> Result<(), DrawingErrorKind<Infallible>> {
        use plotters_backend::text_anchor::{HPos, VPos};
        let (width, anchor) = (text.chars().count() as i32 * LETTER, style.anchor());
        let x = at.0
            - match anchor.h_pos {
                HPos::Left => 0,
                HPos::Center => width / 2,
                HPos::Right => width,
            };
        let y = at.1
            - match anchor.v_pos {
                VPos::Top => 0,
                VPos::Center => LETTER / 2,
                VPos::Bottom => LETTER,
            };
        for (no, letter) in text.chars().enumerate() {
            let Some(rows) = font8x8::BASIC_FONTS.get(letter) else {
                continue;
            };
            for (down, row) in rows.iter().enumerate() {
                for across in 0..8 {
                    if row >> across & 1 == 1 {
                        self.draw_pixel((x + no as i32 * LETTER + across, y + down as i32), style.color())?;
                    }
                }
            }
        }
        Ok(())
    }

    fn estimate_text_size<S: BackendTextStyle>(
        &self,
        text: &str,
        _: &S,
    ) -> Result<(u32, u32), DrawingErrorKind<Infallible>> {
        Ok((text.chars().count() as u32 * LETTER as u32, LETTER as u32))
    }
}
