"""Simulated links between the coordinator and the agents."""

from __future__ import annotations

from damaskpin.peer import orders
from tests.test_coordinator import disturbances


class Links:
    """Carries reports and orders, some of them late and out of order.

    :param simulation: simulation whose processes are connected; it holds the
        rates of the faults.
    """

    def __init__(self, simulation):
        self._simulation = simulation
        self._delayed = []

    def deliver_delayed(self):
        """Deliver the delayed messages that are due."""
        now = self._simulation.now
        for item in list(self._delayed):
            due, instance, message = item
            if due <= now:
                self._delayed.remove(item)
                self._receive(instance, message)

    def deliver(self, instance, message):
        """Deliver a report or orders, sometimes late and out of order."""
        simulation = self._simulation
        if simulation.late_report_s and isinstance(message, orders.Report):
            due = simulation.now + simulation.late_report_s
            self._delayed.append((due, instance, message))
            return
        if simulation.disturbances.draw_loss(message) is not None:
            return
        if simulation.disturbances.is_late(message):
            longest = 3.0
            if simulation.disturbances.is_kind_delayed(message):
                longest = disturbances.MAX_MESSAGE_DELAY_S
            due = simulation.now + simulation.random.uniform(0.2, longest)
            self._delayed.append((due, instance, message))
            return
        self._receive(instance, message)

    def _receive(self, instance, message):
        if instance.disconnected:
            return
        match message:
            case orders.Orders() | orders.Superseded():
                self._simulation.pass_to_agent(
                    instance, lambda: self._handle(instance, message)
                )
            case orders.Report():
                self._pass_to_coordinator(instance, message)

    def _handle(self, instance, message):
        match message:
            case orders.Orders():
                instance.agent.handle_orders(self._simulation.now, message)
            case orders.Superseded(process=process):
                instance.agent.handle_superseded(process)

    def _pass_to_coordinator(self, instance, report):
        simulation = self._simulation
        coordinator = simulation.coordinator
        if not simulation.leader_lease.is_leader():
            return
        if report.fence > coordinator.fence:
            return
        if coordinator.is_superseded(report):
            self.deliver(instance, orders.Superseded(report.process))
            return
        worker = coordinator.handle_report(
            simulation.now, simulation.get_wall(), report, instance.name
        )
        answer = worker and coordinator.make_answer(worker)
        if answer is not None and not simulation.is_lost():
            self.deliver(instance, answer)
