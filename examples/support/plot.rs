//! Plots of measured figures on logarithmic axes.
#![allow(dead_code, unreachable_pub)]

use std::{error::Error, path::Path};

use plotters::prelude::*;

/// A measured quantity as a function of the size.
pub struct Line {
    pub name: String,
    pub points: Vec<(f64, f64)>,
}

impl Line {
    /// Creates a line. Points that are not positive are left out, since the axes are logarithmic.
    pub fn new(name: &str, points: impl IntoIterator<Item = (f64, f64)>) -> Line {
        let points = points.into_iter().filter(|(x, y)| *x > 0.0 && *y > 0.0).collect();
        Line { name: name.to_owned(), points }
    }
}

/// Reads the columns of `csv` with the given names as lines. The first column is the x value.
pub fn read_lines(csv: &str, names: &[&str]) -> Vec<Line> {
    let rows: Vec<Vec<&str>> =
        csv.lines().take_while(|row| !row.is_empty()).map(|row| row.split(',').collect()).collect();
    let Some((header, rows)) = rows.split_first() else { return Vec::new() };
    let number = |row: &[&str], at: usize| row.get(at)?.trim().parse::<f64>().ok();
    let line = |name: &&str| {
        let at = header.iter().position(|column| column == name)?;
        Some(Line::new(name, rows.iter().filter_map(|row| number(row, 0).zip(number(row, at)))))
    };
    names.iter().filter_map(line).collect()
}

/// Plots `lines`, and the budgets as horizontal lines, into an SVG file.
///
/// # Errors
///
/// Returns the error of writing the file.
pub fn write(
    path: &Path,
    title: &str,
    x: &str,
    lines: &[Line],
    budgets: &[(&str, f64)],
) -> Result<(), Box<dyn Error>> {
    let points = || lines.iter().flat_map(|line| line.points.iter().copied());
    let axis_range = |values: &mut dyn Iterator<Item = f64>| {
        let (low, high) = values.fold((f64::MAX, f64::MIN_POSITIVE), |(low, high), value| {
            (low.min(value), high.max(value))
        });
        low.min(high) / 1.5..high * 1.5
    };
    let xs = axis_range(&mut points().map(|(x, _)| x));
    let ys = axis_range(&mut points().map(|(_, y)| y).chain(budgets.iter().map(|(_, y)| *y)));
    let x_limits = (xs.start, xs.end);
    let root = SVGBackend::new(path, (900, 600)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(15)
        .x_label_area_size(45)
        .y_label_area_size(90)
        .build_cartesian_2d(xs.log_scale(), ys.log_scale())?;
    chart.configure_mesh().x_desc(x).draw()?;
    for (at, line) in lines.iter().enumerate() {
        let color = Palette99::pick(at).to_rgba();
        let marks = line.points.iter().map(|point| Circle::new(*point, 3, color.filled()));
        chart.draw_series(marks)?;
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), color.stroke_width(2)))?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
    }
    for (name, value) in budgets {
        let budget = [(x_limits.0, *value), (x_limits.1, *value)];
        chart
            .draw_series(LineSeries::new(budget, BLACK.stroke_width(1)))?
            .label(format!("budget: {name}"))
            .legend(|(x, y)| PathElement::new([(x, y), (x + 20, y)], BLACK));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
