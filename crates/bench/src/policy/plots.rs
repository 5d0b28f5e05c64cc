//! The plots of the report, as SVG files.

use std::{error::Error, path::Path};

use plotters::prelude::*;

/// The size of a plot in pixels.
const SIZE: (u32, u32) = (900, 420);

/// Draws a bar chart with one bar for each name and value.
pub fn bar_chart(
    path: &Path,
    title: &str,
    unit: &str,
    values: &[(String, f64)],
) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let highest = values.iter().map(|(_, value)| *value).fold(1e-9, f64::max) * 1.1;
    let count = values.len() as f64;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..count, 0.0..highest)?;
    let label = |at: &f64| {
        let place = at.floor();
        let named = values.get(place as usize).map_or("", |(name, _)| name.as_str());
        if (at - place - 0.5).abs() < 0.26 { named.to_owned() } else { String::new() }
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(values.len() * 2)
        .x_label_formatter(&label)
        .y_desc(unit)
        .draw()?;
    let drawn = values.iter().enumerate().map(|(at, (_, value))| {
        let left = at as f64;
        Rectangle::new([(left + 0.15, 0.0), (left + 0.85, *value)], BLUE.mix(0.6).filled())
    });
    chart.draw_series(drawn)?;
    root.present()?;
    Ok(())
}

/// Draws a line chart with one line for each name.
pub fn line_chart(
    path: &Path,
    title: &str,
    axes: (&str, &str),
    series: &[(String, Vec<(f64, f64)>)],
) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let points = || series.iter().flat_map(|(_, points)| points.iter());
    let right = points().map(|(x, _)| *x).fold(1e-9, f64::max) * 1.05;
    let top = points().map(|(_, y)| *y).fold(1e-9, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc(axes.0).y_desc(axes.1).draw()?;
    for (at, (name, points)) in series.iter().enumerate() {
        let color = Palette99::pick(at).to_rgba();
        chart
            .draw_series(LineSeries::new(points.iter().copied(), color).point_size(3))?
            .label(name)
            .legend(move |(x, y)| Circle::new((x + 8, y), 4, color.filled()));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    root.present()?;
    Ok(())
}
