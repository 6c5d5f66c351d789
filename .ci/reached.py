#!/usr/bin/env python3
"""Prints those of SOURCE... that a change reaches: changed themselves, or including a changed header.

    reached.py BUILD_DIR FILE_WITH_CHANGED_PATHS SOURCE...

Reads the dependency files of a finished build; a source without one counts as reached.
"""
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def dependencies(build):
    """Source (relative to the root) -> the project's files that its object depends on."""
    result = {}
    for depfile in pathlib.Path(build).glob("**/*.o.d"):
        words = depfile.read_text().replace("\\\n", " ").split(":", 1)[1].split()
        inside = [str(path.relative_to(ROOT)) for path in map(pathlib.Path, words) if ROOT in path.parents]
        if inside:
            result.setdefault(inside[0], set()).update(inside)
    return result


def main():
    build, changed_file, *sources = sys.argv[1:]
    changed = set(pathlib.Path(changed_file).read_text().split())
    depends = dependencies(build)
    for source in sources:
        if source in changed or source not in depends or depends[source] & changed:
            print(source)


if __name__ == "__main__":
    main()
