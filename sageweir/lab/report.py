"""Figures with bounds: JSON, a printed table, an exit code, and a plot."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import ceil
from pathlib import Path
from typing import Any

import orjson


def percentile(values: list[float], part: float) -> float:
    """The value that so great a part of the values does not exceed; nan where there are none."""
    found = sorted(values)
    return found[max(0, ceil(part * len(found)) - 1)] if found else float("nan")


def spread(values: list[float]) -> dict[str, float]:
    """p50, p99 and worst, rounded, and how many there are."""
    return {
        "p50": round(percentile(values, 0.5), 2),
        "p99": round(percentile(values, 0.99), 2),
        "worst": round(max(values, default=float("nan")), 2),
        "count": len(values),
    }


@dataclass(slots=True)
class Report:
    """One experiment's figures; a bound that is missed makes the exit code 1."""

    experiment: str
    given: dict[str, Any]
    figures: dict[str, Any] = field(default_factory=dict)
    bounds: list[dict[str, Any]] = field(default_factory=list)
    aims: list[dict[str, Any]] = field(default_factory=list)

    def bound(self, what: str, value: float, below: float) -> None:
        """The value must be under the bound; one that is no number is not."""
        self.bounds.append({"what": what, "value": round(value, 3), "below": below, "kept": value < below})

    def aim(self, what: str, value: float, below: float) -> None:
        """Wanted, and told; missing it does not fail the experiment."""
        self.aims.append({"what": what, "value": round(value, 3), "below": below, "kept": value < below})

    @property
    def kept(self) -> bool:
        return all(bound["kept"] for bound in self.bounds)

    def text(self) -> str:
        """Figures, bounds and aims as lines."""
        lines = [f"{self.experiment}: {orjson.dumps(self.given).decode()}"]
        lines += [
            f"  {name}: {orjson.dumps(value).decode()}"
            for name, value in self.figures.items()
            if not name.startswith("_")
        ]
        for kind, rows in (("bound", self.bounds), ("aim", self.aims)):
            for one in rows:
                word = "kept" if one["kept"] else "MISSED"
                lines.append(f"  {kind} {word}: {one['what']}: {one['value']} < {one['below']}")
        return "\n".join(lines)

    def write(self, path: Path) -> None:
        """All figures as JSON."""
        path.write_bytes(
            orjson.dumps(
                {
                    "experiment": self.experiment,
                    "given": self.given,
                    "figures": self.figures,
                    "bounds": self.bounds,
                    "aims": self.aims,
                    "kept": self.kept,
                },
                option=orjson.OPT_INDENT_2,
            )
            + b"\n"
        )


def plot_ecdf(path: Path, title: str, series: dict[str, list[float]], bound: float, axis: str, unit: str) -> None:
    """The part of all values that each value is not under, one line a series, with the bound. Needs `lab`."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 4.5))
    for name, values in series.items():
        found = sorted(values)
        axes.step(found, [(i + 1) / len(found) for i in range(len(found))], where="post", label=name)
    axes.axvline(bound, color="black", linestyle="--", linewidth=0.8, label=f"bound, {bound:g} {unit}")
    axes.set(title=title, xlabel=axis, ylabel="part of all", xscale="log")
    axes.grid(alpha=0.3)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
