"""Fits straight lines to measured points and plots them."""

from collections.abc import Sequence
import dataclasses
import html
import math
import statistics
import typing

_WIDTH_PX: typing.Final = 480
_HEIGHT_PX: typing.Final = 300
_MARGIN_PX: typing.Final = 60


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fit:
    """The line intercept + slope * x by ordinary least squares.

    Attributes:
        slope: Increase of y per unit of x.
        intercept: Value of y at x = 0.
        residual: Root mean square of the residuals, in the unit of y.
    """

    slope: float
    intercept: float
    residual: float

    def value_at(self, x: float) -> float:
        """Return the y value of the line at x."""
        return self.intercept + self.slope * x


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> Fit:
    """Return the least-squares line through the points."""
    line = statistics.linear_regression(xs, ys)
    squares = [
        (y - line.intercept - line.slope * x) ** 2
        for x, y in zip(xs, ys, strict=True)
    ]
    return Fit(
        slope=line.slope,
        intercept=line.intercept,
        residual=math.sqrt(statistics.fmean(squares)),
    )


def plot_svg(
    xs: Sequence[float],
    ys: Sequence[float],
    fit: Fit,
    *,
    x_name: str,
    y_name: str,
) -> str:
    """Return a plot of the points and the line as an SVG document."""
    x_max = max(xs) * 1.05
    y_max = max(*ys, fit.value_at(max(xs)), 1e-9) * 1.1

    def locate(x: float, y: float) -> tuple[float, float]:
        canvas_x = _MARGIN_PX + x / x_max * (_WIDTH_PX - 2 * _MARGIN_PX)
        canvas_y = (
            _HEIGHT_PX - _MARGIN_PX - y / y_max * (_HEIGHT_PX - 2 * _MARGIN_PX)
        )
        return round(canvas_x, 1), round(canvas_y, 1)

    axis_left, axis_bottom = locate(0, 0)
    axis_right, axis_top = locate(x_max, y_max)
    elements = [
        f'<path d="M{axis_left} {axis_top}V{axis_bottom}H{axis_right}" '
        'fill="none" stroke="#444"/>'
    ]
    (x1, y1), (x2, y2) = (
        locate(0, fit.value_at(0)),
        locate(x_max, fit.value_at(x_max)),
    )
    elements.append(
        f'<line x1="{x1}" y1="{y1}" x2="{x2}" y2="{y2}" stroke="#06c"/>'
    )
    for x, y in zip(xs, ys, strict=True):
        canvas_x, canvas_y = locate(x, y)
        elements.append(
            f'<circle cx="{canvas_x}" cy="{canvas_y}" r="4" fill="#c30"/>'
        )
        elements.append(_make_label(canvas_x, axis_bottom + 16, f'{x:g}'))
        elements.append(_make_label(canvas_x, canvas_y - 8, f'{y:.3g}'))
    elements.append(_make_label(_WIDTH_PX / 2, _HEIGHT_PX - 16, x_name))
    elements.append(_make_label(_WIDTH_PX / 2, 20, y_name))
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{_WIDTH_PX}" '
        f'height="{_HEIGHT_PX}">\n'
        '<rect width="100%" height="100%" fill="white"/>\n'
        + '\n'.join(elements)
        + '\n</svg>\n'
    )


def _make_label(x: float, y: float, text: str) -> str:
    return (
        f'<text x="{x}" y="{y}" font-family="sans-serif" font-size="11" '
        f'text-anchor="middle">{html.escape(text)}</text>'
    )
