"""Define the events that the simulation of limits applies to a fleet."""

from functools import partial

from quota_traffic import LARGEST_REQUEST_UNITS, mixed_sizes


def _demand(simulation, node_numbers, times):
    simulation.demand = simulation.limit.rate / 1.8 * times


def _cut(simulation, node_numbers):
    simulation.cut(*node_numbers)


def _freeze(simulation, node_numbers):
    simulation.freeze(*node_numbers)


def _kill(simulation, node_numbers):
    simulation.kill(*node_numbers)


def _kill_all(simulation, node_numbers):
    simulation.kill(*range(simulation.entries))


def _heal(simulation, node_numbers):
    simulation.heal()


def _hand_over(simulation, node_numbers):
    simulation.hand_over(*node_numbers)


def _lose_store(simulation, node_numbers):
    simulation.store_is_unavailable = True


def _slow_store(simulation, node_numbers):
    simulation.store.steps = len(node_numbers)


def _change_limit(simulation, node_numbers, part):
    simulation.change_limit(part)


def _send_large(simulation, node_numbers):
    simulation.sizes = lambda: LARGEST_REQUEST_UNITS


def _send_mixed(simulation, node_numbers):
    simulation.sizes = mixed_sizes(len(node_numbers))


#: Each takes the simulation and the numbers of the nodes that it may affect.
EVENTS = {
    'press': partial(_demand, times=7.5),
    'calm': partial(_demand, times=1),
    'cut': _cut,
    'freeze': _freeze,
    'kill': _kill,
    'kill all': _kill_all,
    'heal': _heal,
    'hand over': _hand_over,
    'lose the store': _lose_store,
    'be slow': _slow_store,
    'raise': partial(_change_limit, part=2),
    'lower': partial(_change_limit, part=0.5),
    'large requests': _send_large,
    'mixed requests': _send_mixed,
}
