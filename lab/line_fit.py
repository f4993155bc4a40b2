"""Straight lines through measured points, and plots of them."""

from collections.abc import Sequence
import dataclasses
import html
import math
import statistics
import typing

_WIDTH: typing.Final = 480
_HEIGHT: typing.Final = 300
_MARGIN: typing.Final = 60


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fit:
    """The line intercept + slope * x by ordinary least squares.

    Attributes:
        residual: Root mean square of the residuals, in the unit of y.
    """

    slope: float
    intercept: float
    residual: float

    def at(self, x: float) -> float:
        """Return y of the line at x."""
        return self.intercept + self.slope * x


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> Fit:
    """Return the least-squares line (statistics.linear_regression)."""
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
    """Return a plot of points and line as an SVG document."""
    right = max(xs) * 1.05
    top = max(*ys, fit.at(max(xs)), 1e-9) * 1.1

    def place(x: float, y: float) -> tuple[float, float]:
        across = _MARGIN + x / right * (_WIDTH - 2 * _MARGIN)
        down = _HEIGHT - _MARGIN - y / top * (_HEIGHT - 2 * _MARGIN)
        return round(across, 1), round(down, 1)

    left, bottom = place(0, 0)
    end, upper = place(right, top)
    parts = [
        f'<path d="M{left} {upper}V{bottom}H{end}" fill="none" stroke="#444"/>'
    ]
    (x1, y1), (x2, y2) = place(0, fit.at(0)), place(right, fit.at(right))
    parts.append(
        f'<line x1="{x1}" y1="{y1}" x2="{x2}" y2="{y2}" stroke="#06c"/>'
    )
    for x, y in zip(xs, ys, strict=True):
        across, down = place(x, y)
        parts.append(f'<circle cx="{across}" cy="{down}" r="4" fill="#c30"/>')
        parts.append(_text(across, bottom + 16, f'{x:g}'))
        parts.append(_text(across, down - 8, f'{y:.3g}'))
    parts.append(_text(_WIDTH / 2, _HEIGHT - 16, x_name))
    parts.append(_text(_WIDTH / 2, 20, y_name))
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{_WIDTH}" '
        f'height="{_HEIGHT}">\n'
        '<rect width="100%" height="100%" fill="white"/>\n'
        + '\n'.join(parts)
        + '\n</svg>\n'
    )


def _text(x: float, y: float, text: str) -> str:
    return (
        f'<text x="{x}" y="{y}" font-family="sans-serif" font-size="11" '
        f'text-anchor="middle">{html.escape(text)}</text>'
    )
