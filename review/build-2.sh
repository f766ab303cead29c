#!/bin/sh
# What review/6 to review/10 need beside the deploy file's build: the packages that the extras `control` and `cluster`
# of pyproject.toml name, for review/9 and review/10. The stand-ins are Python files and only compiled.
cd "$(dirname "$0")/.." || exit 2
test -d .venv || { python3 -m venv .venv && .venv/bin/pip -q install -r requirements.txt; } || exit 2
.venv/bin/python - <<'END' >review/packages-2.txt || exit 2
import tomllib
extras = tomllib.load(open("pyproject.toml", "rb"))["project"]["optional-dependencies"]
print("\n".join(extras["control"] + extras["cluster"]))
END
.venv/bin/pip -q install -r review/packages-2.txt
code=$?
rm -f review/packages-2.txt
test $code = 0 || exit 2
exec .venv/bin/python -m py_compile review/harness2.py review/6/case.py review/7/case.py review/8/case.py \
    review/9/case.py review/10/case.py
