"""Reads the resource usage of processes and the machine (proc(5))."""

import os
import pathlib
import typing

_TICKS_PER_S: typing.Final = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES: typing.Final = os.sysconf('SC_PAGE_SIZE')
_TCP_ESTABLISHED: typing.Final = '01'


def read_cpu_s(pid: int) -> float:
    """Return the user and system time of a process in seconds."""
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
    # Fields are split after the last parenthesis, as the name of the program
    # may contain spaces and parentheses.
    fields = stat.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def read_resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    statm = pathlib.Path(f'/proc/{pid}/statm').read_text()
    return int(statm.split()[1]) * _PAGE_BYTES


def read_private_bytes(pid: int) -> int:
    """Return the resident memory that a process shares with no other."""
    rollup = pathlib.Path(f'/proc/{pid}/smaps_rollup').read_text()
    kib = 0
    for line in rollup.splitlines():
        if line.startswith(('Private_Clean:', 'Private_Dirty:')):
            kib += int(line.split()[1])
    return kib * 1024


def count_tcp_connections(pid: int) -> int:
    """Return the number of established IPv4 connections of a process."""
    sockets = set()
    for entry in pathlib.Path(f'/proc/{pid}/fd').iterdir():
        try:
            target = os.readlink(entry)
        except FileNotFoundError:
            continue
        if target.startswith('socket:['):
            sockets.add(target[8:-1])
    table = pathlib.Path(f'/proc/{pid}/net/tcp').read_text().splitlines()
    rows = [line.split() for line in table[1:]]
    return sum(
        row[3] == _TCP_ESTABLISHED and row[9] in sockets for row in rows
    )


def read_machine_times() -> tuple[float, float]:
    """Return busy and total processor seconds of the machine."""
    line = pathlib.Path('/proc/stat').read_text().splitlines()[0]
    ticks = [int(field) for field in line.split()[1:9]]
    idle = ticks[3] + ticks[4]
    return (sum(ticks) - idle) / _TICKS_PER_S, sum(ticks) / _TICKS_PER_S
