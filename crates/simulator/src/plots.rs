//! Plots of runs and sweeps as SVG and PNG files. PNG text is drawn with the 8x8 pixel font of the font8x8 crate instead of
//! a system font, so that all machines produce the same files.

use crate::report::policies;
use crate::run::RunOutcome;
use crate::score::SecondStats;
use crate::sweep::Point;
use font8x8::UnicodeFonts;
use plotters::prelude::*;
use plotters_backend::{BackendColor, BackendCoord, BackendTextStyle, DrawingBackend, DrawingErrorKind};
use std::convert::Infallible;
use std::fmt;
use thiserror::Error;

/// Width and height of a plot in pixels.
const PLOT_SIZE_PX: (u32, u32) = (960, 480);

/// A line of a plot.
pub struct Line {
    /// Name in the legend.
    pub name: String,
    /// Points as pairs of x and y.
    pub points: Vec<(f64, f64)>,
}

/// A plot of lines.
pub struct Plot {
    /// File name without extension.
    pub name: &'static str,
    /// Title.
    pub title: String,
    /// Label of the x axis.
    pub x_label: String,
    /// Lines of the plot.
    pub lines: Vec<Line>,
    /// Value of a horizontal reference line, if there is one.
    pub reference_value: Option<f64>,
}

/// A plot could not be drawn or encoded. The message is that of the library that failed.
#[derive(Debug, Error)]
#[error("drawing a plot failed: {0}")]
pub struct DrawError(String);

impl DrawError {
    fn new(error: impl fmt::Display) -> DrawError {
        DrawError(error.to_string())
    }
}

/// Returns the plots of a run.
pub fn of_run(outcome: &RunOutcome) -> Vec<Plot> {
    let seconds = &outcome.balancer.seconds;
    let line = |name: &str, of: &dyn Fn(&SecondStats) -> f64| {
        let points = seconds.iter().enumerate().map(|(no, second)| (no as f64, of(second)));
        Line { name: name.to_owned(), points: points.collect() }
    };
    let share = |of: &[SecondStats]| {
        let points = of.iter().enumerate().filter(|(_, second)| second.offered_value > 0.0);
        points
            .map(|(no, second)| (no as f64, (second.served_value / second.offered_value).min(1.2)))
            .collect()
    };
    let served = policies(outcome)
        .map(|(name, record)| Line { name: name.to_owned(), points: share(&record.seconds) });
    let plot = |name, title: &str, lines, reference_value| Plot {
        name,
        title: title.to_owned(),
        x_label: "seconds".to_owned(),
        lines,
        reference_value,
    };
    vec![
        plot("served", "value served / value offered", served.into_iter().collect(), None),
        plot(
            "answers",
            "first tries per second, by outcome",
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
            "work started and capacity, core seconds per second",
            vec![
                line("work", &|second| second.worked_ms / 1_000.0),
                line("capacity", &|second| second.capacity_ms / 1_000.0),
            ],
            None,
        ),
        plot(
            "margins",
            "use of hard limits and load in warm-up, relative to the limit",
            vec![
                line("hard limit", &|second| second.max_hard_limit_ratio.max(0.0)),
                line("load in warm-up", &|second| second.max_overload_ratio),
            ],
            Some(1.0),
        ),
    ]
}

/// Returns the plot of the score over the values of the first swept key, with one line for each value of a second key.
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
    let title = "mean score by swept value (0 where a rule was violated)".to_owned();
    Plot { name: "score", title, x_label: keys[0].clone(), lines, reference_value: None }
}

impl Plot {
    /// Renders the plot as an SVG file.
    ///
    /// # Errors
    /// Returns an error if drawing fails.
    pub fn svg(&self) -> Result<String, DrawError> {
        let mut text = String::new();
        self.draw(SVGBackend::with_string(&mut text, PLOT_SIZE_PX).into_drawing_area())?;
        Ok(text)
    }

    /// Renders the plot as a PNG file.
    ///
    /// # Errors
    /// Returns an error if drawing or encoding fails.
    pub fn png(&self) -> Result<Vec<u8>, DrawError> {
        let mut pixels = vec![0xff; (PLOT_SIZE_PX.0 * PLOT_SIZE_PX.1 * 3) as usize];
        self.draw(PixelBuffer { pixels: &mut pixels }.into_drawing_area())?;
        let mut bytes = Vec::new();
        let mut encoder = png::Encoder::new(&mut bytes, PLOT_SIZE_PX.0, PLOT_SIZE_PX.1);
        encoder.set_color(png::ColorType::Rgb);
        let mut writer = encoder.write_header().map_err(DrawError::new)?;
        writer.write_image_data(&pixels).map_err(DrawError::new)?;
        drop(writer);
        Ok(bytes)
    }

    fn draw<D: DrawingBackend>(&self, area: DrawingArea<D, plotters::coord::Shift>) -> Result<(), DrawError> {
        area.fill(&WHITE).map_err(DrawError::new)?;
        let all = || self.lines.iter().flat_map(|line| line.points.iter().copied());
        let x_min = all().map(|point| point.0).fold(f64::MAX, f64::min);
        let x_max = all().map(|point| point.0).fold(f64::MIN, f64::max);
        let (x_min, x_max) = if x_min < x_max { (x_min, x_max) } else { (0.0, 1.0) };
        let y_max =
            all().map(|point| point.1).chain(self.reference_value).fold(0.0, f64::max).max(1e-9) * 1.05;
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, ("monospace", 16))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(x_min..x_max, 0.0..y_max)
            .map_err(DrawError::new)?;
        let mut mesh = chart.configure_mesh();
        mesh.x_desc(&self.x_label).label_style(("monospace", 12)).axis_desc_style(("monospace", 12));
        mesh.draw().map_err(DrawError::new)?;
        if let Some(reference_value) = self.reference_value {
            let line = [(x_min, reference_value), (x_max, reference_value)];
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

/// Drawing backend for an RGB pixel buffer that draws text with an 8x8 pixel font.
struct PixelBuffer<'a> {
    pixels: &'a mut [u8],
}

/// Width and height of a glyph in pixels.
const GLYPH_SIZE_PX: i32 = 8;

impl DrawingBackend for PixelBuffer<'_> {
    type ErrorType = Infallible;

    fn get_size(&self) -> (u32, u32) {
        PLOT_SIZE_PX
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
        if x < 0 || y < 0 || x >= PLOT_SIZE_PX.0 as i32 || y >= PLOT_SIZE_PX.1 as i32 {
            return Ok(());
        }
        let offset = ((y as u32 * PLOT_SIZE_PX.0 + x as u32) * 3) as usize;
        let (red, green, blue) = color.rgb;
        for (pixel, ink) in self.pixels[offset..offset + 3].iter_mut().zip([red, green, blue]) {
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
        let (width, anchor) = (text.chars().count() as i32 * GLYPH_SIZE_PX, style.anchor());
        let x = at.0
            - match anchor.h_pos {
                HPos::Left => 0,
                HPos::Center => width / 2,
                HPos::Right => width,
            };
        let y = at.1
            - match anchor.v_pos {
                VPos::Top => 0,
                VPos::Center => GLYPH_SIZE_PX / 2,
                VPos::Bottom => GLYPH_SIZE_PX,
            };
        for (index, letter) in text.chars().enumerate() {
            let Some(rows) = font8x8::BASIC_FONTS.get(letter) else {
                continue;
            };
            for (dy, row) in rows.iter().enumerate() {
                for dx in 0..8 {
                    if row >> dx & 1 == 1 {
                        self.draw_pixel(
                            (x + index as i32 * GLYPH_SIZE_PX + dx, y + dy as i32),
                            style.color(),
                        )?;
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
        Ok((text.chars().count() as u32 * GLYPH_SIZE_PX as u32, GLYPH_SIZE_PX as u32))
    }
}
