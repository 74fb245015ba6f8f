"""What the project's file can't say: a wheel holds the compiled modules too, where there is a C compiler."""

import sys
from pathlib import Path

from setuptools import Distribution, setup
from setuptools.command.build_py import build_py

sys.path.insert(0, str(Path(__file__).parent))  # a build in an environment of its own does not look here

from millgw.build import BuildError, build


class BuildPy(build_py):
    """Compiles what was copied: the wheel's sources are those that its compiled modules are made of."""

    def run(self) -> None:
        super().run()
        package = Path(self.build_lib) / "millgw"
        try:
            build(package / "_compiled", package)
        except BuildError as error:
            self.announce(f"not compiled: {error}", level=3)


class Platform(Distribution):
    """A wheel with compiled modules is of one platform and interpreter."""

    def has_ext_modules(self) -> bool:
        return True


setup(cmdclass={"build_py": BuildPy}, distclass=Platform)
