"""Tests of fitting lines to capacity measurements and plotting them."""

import xml.etree.ElementTree

import pytest

from lab import line_fit

_SVG = '{http://www.w3.org/2000/svg}'


def test_fit_of_known_points() -> None:
    """Guards against swapped axes and a wrong residual."""
    fit = line_fit.fit_line([0.0, 1.0, 2.0, 3.0], [1.0, 4.0, 4.0, 7.0])
    # By hand, the slope is sum(dx * dy) / sum(dx * dx) = 9 / 5.
    assert fit.slope == pytest.approx(1.8)
    assert fit.intercept == pytest.approx(1.3)
    # The residuals are -0.3, 0.9, -0.9 and 0.3.
    assert fit.residual == pytest.approx(0.45**0.5)
    assert fit.value_at(10.0) == pytest.approx(19.3)


def test_plot_is_well_formed_and_inside_its_canvas() -> None:
    """Guards against malformed SVG files and points outside the canvas."""
    xs, ys = [3.0, 8.0, 60.0], [0.0, 2.0, 9.0]
    svg = line_fit.plot_svg(
        xs,
        ys,
        line_fit.fit_line(xs, ys),
        x_name='daemons & upstreams',
        y_name='bytes < 9',
    )
    root = xml.etree.ElementTree.fromstring(svg)
    circles = root.findall(f'{_SVG}circle')
    assert len(circles) == 3
    for circle in circles:
        assert 0.0 <= float(circle.attrib['cx']) <= float(root.attrib['width'])
        assert (
            0.0 <= float(circle.attrib['cy']) <= float(root.attrib['height'])
        )
