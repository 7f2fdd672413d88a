"""Tests of which links the membership wants."""

import unittest
from unittest import mock

import anyio

from reedspar.membership import create_membership
from reedspar.platform import InstanceRecord
from reedspar.settings import DaemonSettings
from reedspar.timers import VirtualClock, create_timer_service

OWN = InstanceRecord("entry-0", "entry", "east-a", "east", "127.0.0.1", 1, 2)
AGENT = InstanceRecord(
    "portal-0", "agent", "east-a", "east", "127.0.0.1", 3, 4, pool="portal"
)
SETTINGS = DaemonSettings.model_validate(
    {
        "name": OWN.name,
        "role": OWN.role,
        "zone": OWN.zone,
        "region": OWN.region,
        "port": OWN.port,
        "http_port": OWN.http_port,
        "platform": {
            "key_value_url": "http://127.0.0.1:5",
            "instance_list_url": "http://127.0.0.1:6",
            "origin_url": "http://127.0.0.1:7",
        },
    }
)


class ListOfTwo:
    async def fetch(self) -> tuple[InstanceRecord, ...]:
        return OWN, AGENT


class WantedLinksTest(unittest.TestCase):
    def test_refused_daemon_is_dialled_on_though_not_chosen(self) -> None:
        # An agent dies and starts again a second later at the same address.
        # It tells a few entries; the others were refused once, and unless they
        # dial on, callers are told for many seconds that there is no target.
        clock = VirtualClock()
        membership = create_membership(
            SETTINGS,
            mock.Mock(),
            create_timer_service(clock),
            ListOfTwo(),
            anyio.run,
            incarnation=1,
        )
        membership.start()
        self.assertEqual(membership.desired_links(), (AGENT,))
        membership.note_refused_dial(AGENT.name)
        self.assertEqual(membership.agents(), ())
        self.assertEqual(membership.desired_links(), (AGENT,))
        membership.note_link_up(AGENT.name, 2)
        self.assertEqual(membership.agents(), (AGENT,))
