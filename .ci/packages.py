#!/usr/bin/env python3
"""Checks that the packages a deploy file lists bring every file that its build opens.

    packages.py DEPLOY_FILE BUILD_DIR [TARGET...]

BUILD_DIR holds a finished build by CMake's Makefile generator. With TARGETs only their objects and libraries
count, else all that was built. Read are the compiler's dependency files, the link commands and the tools that
CMake's cache names. Each such file outside the project must come from a listed package, from one that a listed
package depends on (first alternative), or from a package that every Debian system has (Essential).
Exits with 1 and names each missing package with one of its files; with 0 it prints how many files it looked at.
"""
import pathlib
import re
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
CACHED_TOOLS = ("CMAKE_CXX_COMPILER", "CMAKE_MAKE_PROGRAM", "CMAKE_COMMAND", "CMAKE_AR", "CMAKE_RANLIB", "CMAKE_LINKER")
COMPILER_PARTS = ("cc1plus", "as", "collect2", "ld")


def installed_packages():
    """Name -> (names of packages it depends on: a list of alternatives each, essential, names it provides)."""
    fields = "${Package}\t${Pre-Depends}, ${Depends}\t${Essential}\t${Provides}\t${db:Status-Abbrev}\n"
    text = subprocess.run(["dpkg-query", "-W", "-f", fields], capture_output=True, text=True, check=True).stdout
    packages = {}
    for line in text.splitlines():
        name, depends, essential, provides, status = line.split("\t")
        if not status.startswith("ii"):
            continue
        bare = lambda entry: re.sub(r"[\s(:\[].*", "", entry.strip())
        alternatives = [[bare(a) for a in group.split("|")] for group in depends.split(",") if group.strip()]
        packages[name] = (alternatives, essential == "yes", [bare(p) for p in provides.split(",") if p.strip()])
    return packages


def closure(names, packages):
    """All packages that an installation of `names` brings, with those that every system has."""
    providers = {}
    for name, (_, _, provides) in packages.items():
        for virtual in provides:
            providers.setdefault(virtual, []).append(name)
    todo = list(names) + [name for name, (_, essential, _) in packages.items() if essential]
    found = set()
    while todo:
        name = todo.pop()
        if name in found:
            continue
        if name not in packages:
            todo += [p for p in providers.get(name, [])[:1]]
            continue
        found.add(name)
        for alternatives in packages[name][0]:
            there = [a for a in alternatives if a in packages or a in providers]
            todo += there[:1]
    return found


def link_command(build, target):
    """The link command of a target, or None; Makefiles keep it in link.txt."""
    found = list(build.glob(f"**/CMakeFiles/{target}.dir/link.txt"))
    return found[0] if found else None


def files_of_targets(build, targets):
    """(dependency files, link commands) of these targets and of the project's libraries that they link."""
    depfiles, links, todo, seen = [], [], list(targets), set()
    while todo:
        target = todo.pop()
        if target in seen:
            continue
        seen.add(target)
        link = link_command(build, target)
        if link is None:
            sys.exit(f"{build}: no target {target} was built by Makefiles here")
        links.append(link)
        depfiles += link.parent.glob("**/*.o.d")
        todo += [m for m in re.findall(r"lib(\w+)\.a", link.read_text()) if link_command(build, m)]
    return depfiles, links


def opened_files(build, targets):
    """Every file outside the project that the build opened."""
    if targets:
        depfiles, links = files_of_targets(build, targets)
    else:
        depfiles, links = list(build.glob("**/*.o.d")), list(build.glob("**/link.txt"))
    if not depfiles or not links:
        sys.exit(f"{build}: holds no finished build")
    files = set()
    for depfile in depfiles:
        words = depfile.read_text().replace("\\\n", " ").split(":", 1)[1].split()
        files.update(word for word in words if word.startswith("/"))
    compiler = cached(build, "CMAKE_CXX_COMPILER")
    for link in links:
        for word in link.read_text().split():
            if word.startswith("/") and re.search(r"\.(so|a|o)(\.[\d.]+)?$", word):
                files.add(word)
            elif word.startswith("-l"):
                files.add(printed(compiler, f"-print-file-name=lib{word[2:]}.so"))
    files.update(filter(None, (cached(build, tool) for tool in CACHED_TOOLS)))
    files.update(printed(compiler, f"-print-prog-name={part}") for part in COMPILER_PARTS)
    files.update(printed(compiler, f"-print-file-name={name}") for name in ("libstdc++.so", "libc.so", "libgcc.a"))
    outside = set()
    for file in files:
        path = pathlib.Path(file)
        if path.is_absolute() and ROOT not in path.resolve().parents and path.exists():
            outside.add(str(path.resolve()))
    return outside


def cached(build, name):
    match = re.search(rf"^{name}:\w+=(.*)$", (build / "CMakeCache.txt").read_text(), re.M)
    return match.group(1) if match else ""


def printed(*command):
    return subprocess.run(command, capture_output=True, text=True, check=True).stdout.strip()


def owners(files):
    """File -> packages that hold it."""
    result = {}
    lines = subprocess.run(["dpkg-query", "-S", *sorted(files)], capture_output=True, text=True).stdout.splitlines()
    # Before Debian merged /usr, packages named files by their old folder.
    unknown = files - {line.split(": ", 1)[1] for line in lines if ": " in line}
    old = [file.removeprefix("/usr") for file in sorted(unknown) if file.startswith("/usr/")]
    if old:
        lines += subprocess.run(["dpkg-query", "-S", *old], capture_output=True, text=True).stdout.splitlines()
    for line in lines:
        if ": " not in line or line.startswith("diversion"):
            continue
        names, file = line.split(": ", 1)
        full = file if file in files else "/usr" + file
        result.setdefault(full, set()).update(name.split(":")[0] for name in names.split(", "))
    return result


def check(deploy_file, build, targets):
    """The number of files looked at, and a line for each package that is missing."""
    listed = tomllib.loads(deploy_file.read_text())["packages"]
    brought = closure(listed, installed_packages())
    files = opened_files(build, targets)
    missing = {}
    for file, names in owners(files).items():
        if not names & brought:
            missing.setdefault(min(names), file)
    return len(files), [f"{deploy_file.name}: packages lacks {name} (for {file})" for name, file in sorted(missing.items())]


def main():
    if len(sys.argv) < 3:
        sys.exit(__doc__)
    count, faults = check(pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2]), sys.argv[3:])
    print("\n".join(faults) if faults else f"{sys.argv[1]}: {count} files, all brought by the packages listed")
    sys.exit(1 if faults else 0)


if __name__ == "__main__":
    main()
