package org.siskinramp.ticket;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.siskinramp.configuration.AdministrativeState;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

final class TicketTest {

    private static String errors(String json) {
        ResultException failure =
                assertThrows(ResultException.class, () -> Ticket.parse(json.replace('\'', '"')));
        assertEquals(ResultCode.TICKET_INVALID, failure.code());
        return failure.getMessage().substring("the change ticket is not valid: ".length());
    }

    @Test
    void fillsInDefaults() {
        Ticket ticket =
                Ticket.parse(
                        """
                        {"number": 7,
                         "services": [{"name": "dispatch", "path_prefix": "/dispatch"}],
                         "backend_servers": [{"name": "d-1", "service": "dispatch", "host": "h-1",
                           "availability_zone": "almaty-1", "address": "127.0.0.1:8001",
                           "slots": 4}]}
                        """);
        assertEquals(7, ticket.number());
        assertEquals(2_000, ticket.services().get(0).timeLimitMilliseconds());
        assertEquals(200, ticket.services().get(0).queueLimit());
        assertEquals(AdministrativeState.IN, ticket.services().get(0).state());
        assertEquals(1, ticket.backendServers().get(0).coldSlots());
    }

    @Test
    void reportsAllErrorsWithTheirPaths() {
        assertEquals(
                "$.colour: is not a known key; "
                        + "$.number: must be a whole number from 1; "
                        + "$.services[0].name: must match [a-z0-9-]{1,64}; "
                        + "$.services[0].kinds[0].method: must be an HTTP method in capitals, or *; "
                        + "$.services[0].time_limit_ms: must be a whole number from 1 to 600000; "
                        + "$.backend_servers[0].address: must be ip:port with a port from 1 to 65535; "
                        + "$.backend_servers[0].cold_slots: must be a whole number from 1 to 4; "
                        + "$.hosts[0].state: must be in, out or removed; "
                        + "$.hosts[1].name: must be unique; h-1 stands twice",
                errors(
                        """
                        {'number': 0, 'colour': 1,
                         'services': [{'name': 'A', 'path_prefix': '/a', 'time_limit_ms': '9',
                           'kinds': [{'name': 'x', 'method': 'get', 'path_prefix': '/a',
                                      'idempotent': true}]}],
                         'backend_servers': [{'name': 'b', 'service': 's', 'host': 'h',
                           'availability_zone': 'z', 'address': '127.0.0.1:70000', 'slots': 4,
                           'cold_slots': 5}],
                         'hosts': [{'name': 'h-1', 'state': 'gone'}, {'name': 'h-1'}]}
                        """));
    }

    @Test
    void refusesMalformedTickets() {
        assertEquals("$: must be an object; $.number: must be a whole number from 1", errors("[]"));
        assertEquals("$: must hold 1 to 490 objects, but holds 0", errors("{'number': 1}"));
        assertEquals("$: must be JSON", errors("{'number': 1").substring(0, 15));
        assertEquals("$: must be JSON", errors("{'number': 1, 'number': 2}").substring(0, 15));
    }

    @Test
    void normalisesAddresses() {
        assertEquals("10.0.0.1:80", Addresses.normalise("10.0.0.1:80").orElseThrow());
        assertEquals(Addresses.normalise("[0:0::1]:80"), Addresses.normalise("[::1]:80"));
        for (String wrong :
                new String[] {
                    "host:80", "10.0.0.1", "10.0.0.1:0", "10.0.0.01:80", "10.0.0.256:80", "[1.2]:80"
                }) {
            assertEquals("", Addresses.normalise(wrong).orElse(""), wrong);
        }
    }
}
