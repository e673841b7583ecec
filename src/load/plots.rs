//! Plots of an experiment result as SVG.

use plotters::prelude::*;

use super::report::{ExperimentResult, MemberResult, Quantiles};

/// Width and height of a plot in pixels.
const SIZE: (u32, u32) = (960, 400);

/// Name and points of each line of a plot.
type Series = Vec<(String, Vec<(f64, f64)>)>;

/// Plots the goodput of each member in each second.
pub fn goodput(result: &ExperimentResult) -> Result<String, String> {
    let series = result.members.iter().map(|(member, figures)| {
        let seconds = figures.goodput_per_second.iter().enumerate();
        let points = seconds.map(|(second, count)| (second as f64, *count as f64));
        (member.clone(), points.collect())
    });
    draw("Goodput", "s", "requests/s", series.collect())
}

/// Plots the quantiles of the times that `select` returns for each member.
pub fn quantiles(
    result: &ExperimentResult,
    caption: &str,
    select: fn(&MemberResult) -> &Quantiles,
) -> Result<String, String> {
    let series = result
        .members
        .iter()
        .map(|(member, figures)| (member.clone(), select(figures).curve.clone()));
    draw(caption, "quantile", "ms", series.collect())
}

fn draw(caption: &str, x_name: &str, y_name: &str, series: Series) -> Result<String, String> {
    let points = || series.iter().flat_map(|(_, points)| points);
    let x_max = points().map(|point| point.0).fold(1.0, f64::max);
    let y_max = points().map(|point| point.1).fold(1.0, f64::max) * 1.05;
    let mut svg = String::new();
    let drawn = (|| {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(caption, ("sans-serif", 20))
            .margin(10)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..x_max, 0.0..y_max)?;
        chart
            .configure_mesh()
            .x_desc(x_name)
            .y_desc(y_name)
            .draw()?;
        for (index, (member, points)) in series.iter().enumerate() {
            let colour = Palette99::pick(index).to_rgba();
            chart
                .draw_series(LineSeries::new(
                    points.iter().copied(),
                    colour.stroke_width(2),
                ))?
                .label(member)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], colour));
        }
        chart
            .configure_series_labels()
            .border_style(BLACK)
            .background_style(WHITE)
            .draw()?;
        area.present()
    })();
    drawn.map_err(|error: DrawingAreaErrorKind<std::io::Error>| error.to_string())?;
    Ok(svg)
}
