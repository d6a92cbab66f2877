package org.siskinramp.standin.cluster;

import java.util.List;
import java.util.Map;

/** Writes change tickets as JSON. */
final class TicketJson {

    private static final String SERVICES =
            """
            {"name": "schedule-consent", "path_prefix": "/schedule-consent", "time_limit_ms": 4000,
             "queue_limit": 200, "state": "in", "kinds": [
              {"name": "consent", "method": "POST", "path_prefix": "/schedule-consent/consents",
               "idempotent": false, "weight": 5},
              {"name": "read", "method": "GET", "path_prefix": "/schedule-consent",
               "idempotent": true, "weight": 1}]},
            """;

    private TicketJson() {}

    static String fullTicket(Map<String, String> serverAddresses) {
        List<String> servers =
                serverAddresses.entrySet().stream()
                        .map(entry -> server(entry.getKey(), entry.getValue()))
                        .toList();
        List<String> hosts =
                serverAddresses.keySet().stream()
                        .map(name -> "{\"name\": \"%s-host\", \"state\": \"in\"}".formatted(name))
                        .toList();
        return """
        {"number": 1, "services": [%s %s],
         "availability_zones": [{"name": "almaty-1", "state": "in"},
          {"name": "almaty-2", "state": "in"}, {"name": "almaty-3", "state": "in"}],
         "hosts": [%s], "backend_servers": [%s]}
        """
                .formatted(
                        SERVICES,
                        dispatchService(50),
                        String.join(",", hosts),
                        String.join(",", servers));
    }

    /** Returns a ticket that changes how many shut-off orders may wait. */
    static String queueLimitTicket(int number, int queueLimit) {
        return "{\"number\": %d, \"services\": [%s]}"
                .formatted(number, dispatchService(queueLimit));
    }

    private static String dispatchService(int queueLimit) {
        return """
        {"name": "dispatch", "path_prefix": "/dispatch", "time_limit_ms": 4000,
         "queue_limit": %d, "state": "in", "kinds": [
          {"name": "shut-off-order", "method": "POST", "path_prefix": "/dispatch/orders",
           "idempotent": false, "weight": 10}]}\
        """
                .formatted(queueLimit);
    }

    private static String server(String name, String address) {
        int end = name.lastIndexOf('-');
        return """
        {"name": "%s", "service": "%s", "host": "%s-host", "availability_zone": "almaty-%s",
         "address": "%s", "slots": 4, "cold_slots": 1, "state": "in"}"""
                .formatted(name, name.substring(0, end), name, name.substring(end + 1), address);
    }
}
