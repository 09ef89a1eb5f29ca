use eyre::eyre;
use plotters::{
    chart::{ChartBuilder, SeriesLabelPosition},
    prelude::{IntoDrawingArea, LineSeries, SVGBackend},
    style::{
        BLACK, Color, IntoTextStyle, RGBColor, WHITE,
        text_anchor::{HPos, Pos, VPos},
    },
};

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (760, 300);
/// Middle of a plot, in pixels.
const MIDDLE: (i32, i32) = (380, 150);
/// Part of the vertical axis above the highest point where one line is drawn.
const HEADROOM: f64 = 1.05;
/// The same where several lines need a legend, which stands above them.
const LEGEND_HEADROOM: f64 = 1.4;
/// Colours of the lines, in order.
const COLOURS: [RGBColor; 3] = [
    RGBColor(31, 119, 180),
    RGBColor(200, 80, 20),
    RGBColor(40, 130, 60),
];

/// A named line of a plot.
#[derive(Clone, Debug)]
pub struct Line {
    /// Name.
    pub name: &'static str,
    /// Points.
    pub points: Vec<(f64, f64)>,
}

/// What a plot shows.
#[derive(Clone, Debug)]
pub struct Plot {
    /// Title.
    pub title: &'static str,
    /// Name of the horizontal axis, with its unit.
    pub x: &'static str,
    /// Name of the vertical axis, with its unit.
    pub y: &'static str,
    /// Lines.
    pub lines: Vec<Line>,
}

impl Plot {
    /// Draws the plot as SVG.
    ///
    /// # Errors
    ///
    /// Fails if the library can't draw it.
    pub fn to_svg(&self) -> eyre::Result<String> {
        let mut svg = String::new();
        self.draw(&mut svg)
            .map_err(|cause| eyre!("drawing {}: {cause}", self.title))?;
        Ok(svg)
    }

    fn draw(&self, svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
        let points = || self.lines.iter().flat_map(|line| &line.points);
        let first = points().map(|point| point.0).fold(f64::INFINITY, f64::min);
        let last = points().map(|point| point.0).fold(f64::NEG_INFINITY, f64::max);
        let top = points().map(|point| point.1).fold(0.0, f64::max);
        let (first, last) = if first < last { (first, last) } else { (0.0, 1.0) };
        let is_empty = top <= 0.0;
        let has_legend = self.lines.len() > 1 && !is_empty;
        let headroom = if has_legend { LEGEND_HEADROOM } else { HEADROOM };
        let top = if is_empty { 1.0 } else { top * headroom };
        let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(self.title, ("sans-serif", 16))
            .margin(10)
            .x_label_area_size(32)
            .y_label_area_size(60)
            .build_cartesian_2d(first..last, 0.0..top)?;
        chart
            .configure_mesh()
            .x_desc(self.x)
            .y_desc(self.y)
            .light_line_style(WHITE)
            .draw()?;
        for (line, colour) in self.lines.iter().zip(COLOURS.iter().cycle()) {
            let series = LineSeries::new(line.points.iter().copied(), colour.stroke_width(2));
            let drawn = chart.draw_series(series)?.label(line.name);
            drawn.legend(move |(x, y)| plotters::element::PathElement::new([(x, y), (x + 14, y)], colour));
        }
        if is_empty {
            let style = ("sans-serif", 16).into_text_style(&area);
            let centre = Pos::new(HPos::Center, VPos::Center);
            area.draw_text("none", &style.pos(centre), MIDDLE)?;
        }
        if !has_legend {
            area.present()?;
            return Ok(());
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperRight)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()?;
        area.present()?;
        Ok(())
    }
}
