//! Plots latency by percentile as SVG.

use std::path::Path;

use hdrhistogram::Histogram;
use miette::{Result, miette};
use plotters::chart::ChartBuilder;
use plotters::drawing::IntoDrawingArea;
use plotters::prelude::SVGBackend;
use plotters::series::LineSeries;
use plotters::style::{BLUE, WHITE};

/// The width and height of the image, in pixels.
const IMAGE_SIZE: (u32, u32) = (720, 405);

/// The space for labels along an axis, in pixels.
const LABEL_AREA_SIZE: u32 = 50;

/// Writes the plot to `path`, from a histogram in microseconds; its axis is in
/// milliseconds.
pub(crate) fn draw(path: &Path, latency: &Histogram<u64>) -> Result<()> {
    let report = |error: &dyn std::fmt::Display| miette!("{}: {error}", path.display());
    let area = SVGBackend::new(path, IMAGE_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| report(&error))?;
    let longest = millis(latency.max()).max(1.0);
    let mut chart = ChartBuilder::on(&area)
        .margin(LABEL_AREA_SIZE / 5)
        .x_label_area_size(LABEL_AREA_SIZE)
        .y_label_area_size(LABEL_AREA_SIZE)
        .build_cartesian_2d(0.0..100.0, 0.0..longest)
        .map_err(|error| report(&error))?;
    chart
        .configure_mesh()
        .x_desc("percentile")
        .y_desc("latency in ms")
        .draw()
        .map_err(|error| report(&error))?;
    let points = (0..=1_000_u32).map(|permille| {
        let percentile = f64::from(permille) / 10.0;
        let value = latency.value_at_quantile(percentile / 100.0);
        (percentile, millis(value))
    });
    chart
        .draw_series(LineSeries::new(points, &BLUE))
        .map_err(|error| report(&error))?;
    area.present().map_err(|error| report(&error))
}

fn millis(micros: u64) -> f64 {
    let micros = u32::try_from(micros).unwrap_or(u32::MAX);
    f64::from(micros) / 1_000.0
}
