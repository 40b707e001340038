"""Import some modules of libraries only when they are first used.

Libraries import parts that a program may never need, such as a protocol that
its callers don't speak. All VMs that lost power start at the same time on a
fraction of a core each, and callers wait for these imports.
"""

import importlib
import sys
import types
import typing


class _Deferred(type):
    """Stands for a class or function until it is called."""

    module_name: str

    def _load(cls) -> typing.Any:
        module = sys.modules.get(cls.module_name)
        if module is None or isinstance(module, _DeferredModule):
            sys.modules.pop(cls.module_name, None)
            module = importlib.import_module(cls.module_name)
        return getattr(module, cls.__name__)

    def __call__(cls, *args: typing.Any, **kwargs: typing.Any) -> typing.Any:
        return cls._load()(*args, **kwargs)

    def __instancecheck__(cls, instance: typing.Any) -> bool:
        # Without the module there are no instances of its classes.
        if isinstance(sys.modules.get(cls.module_name), _DeferredModule):
            return False
        return isinstance(instance, cls._load())


class _DeferredModule(types.ModuleType):
    """Stands for a module until one of its names is called."""

    def __getattr__(self, name: str) -> typing.Any:
        if name.startswith('__'):
            raise AttributeError(f'{self.__name__}.{name} is deferred')
        stand_in = _Deferred(name, (), {'module_name': self.__name__})
        setattr(self, name, stand_in)
        return stand_in


def defer(names: typing.Iterable[str]) -> None:
    """Defer the import of modules that have not been imported yet.

    Their classes and functions may be imported by name, called, and used
    with isinstance; they must not be subclassed.
    """
    for name in names:
        if name not in sys.modules:
            sys.modules[name] = _DeferredModule(name)
