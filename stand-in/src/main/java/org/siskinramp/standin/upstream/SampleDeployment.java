package org.siskinramp.standin.upstream;

/** The configuration and the settings of a small deployment on loopback. */
public final class SampleDeployment {

    private SampleDeployment() {}

    /**
     * Returns a configuration with one service, a route for reads and one for writes.
     *
     * @param version the number in its version
     * @return the configuration as JSON
     */
    public static String configuration(int version) {
        return """
        {"version":"r%d",
         "services":[{"name":"desk","health_path":"/health","max_conns":100,"protocol":"h1",
                      "tls":false,"warmup_s":3.0,"warmup_per_s":5.3}],
         "limits":{"max_header_bytes":16384,"max_body_bytes":1000000,
                   "header_timeout_ms":3000,"idle_timeout_ms":15000},
         "hosts":[{"host":"localhost","paths":[
           {"name":"read","prefix":"/read/","kind":"safe","timeout_ms":1200,
            "goal_latency_ms":600,"priority":2,"service":"desk","max_attempts":2},
           {"name":"write","prefix":"/write/","kind":"unsafe","timeout_ms":1500,
            "goal_latency_ms":800,"priority":1,"service":"desk","max_attempts":2}]}]}
        """
                .formatted(version);
    }

    /**
     * Returns a configuration whose callers need keys, with a public route for reads in addition.
     *
     * @param version the number in its version
     * @param tenants the tenants as a JSON list
     * @return the configuration as JSON
     */
    public static String configurationWithTenants(int version, String tenants) {
        return configuration(version)
                .replace("\"services\":", "\"tenants\":" + tenants + ",\n \"services\":")
                .replace(
                        "\"paths\":[",
                        """
                        "paths":[
                           {"name":"open","prefix":"/open/","kind":"safe","timeout_ms":1200,
                            "goal_latency_ms":600,"priority":2,"service":"desk","max_attempts":2,
                            "public":true},\
                        """);
    }

    /**
     * Returns the settings of a gateway that listens on free ports.
     *
     * @param store the address of the store as {@code ip:port}
     * @return the settings as TOML
     */
    public static String settings(String store) {
        return """
        [host]
        name = "edge-1"
        availability_zone = "zone-a"
        [callers]
        address = "127.0.0.1:0"
        [pages]
        readiness_address = "127.0.0.1:0"
        metrics_address = "127.0.0.1:0"
        [store]
        address = "http://%s"
        [peers]
        address = "127.0.0.1:0"
        [operator_figures]
        grace_s = 6
        retry_ratio = 0.2
        """
                .formatted(store);
    }
}
