package org.siskinramp.standin.measurement;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.standin.caller.LoadKind;
import org.siskinramp.standin.measurement.MeasuredService.MeasuredKind;

/**
 * A deployment whose services and availability zones a measurement reproduces at a smaller scale.
 */
public final class Deployment {
    /** Notices of street works: mostly reads, some consents and shut-off orders. */
    static final Deployment QAZAQ =
            new Deployment(
                    "qazaq",
                    4,
                    List.of("almaty-1", "almaty-2", "almaty-3"),
                    new MeasuredService(
                            "schedule-consent",
                            2000,
                            200,
                            30.0 / 36,
                            new MeasuredKind(
                                    "consent", "POST", "/schedule-consent/consents", false, 5, 0.1),
                            new MeasuredKind("read", "GET", "/schedule-consent", true, 1, 0.9)),
                    new MeasuredService(
                            "dispatch",
                            3000,
                            50,
                            6.0 / 36,
                            new MeasuredKind(
                                    "shut-off-order", "POST", "/dispatch/orders", false, 10, 0.5),
                            new MeasuredKind("dispatch-read", "GET", "/dispatch", true, 2, 0.5)));

    /** A portal of public tenders: mostly reads, and a registry of proposals. */
    static final Deployment LOMBARD =
            new Deployment(
                    "lombard",
                    6,
                    List.of("milano-1", "bergamo-1", "brescia-1", "torino-1"),
                    new MeasuredService(
                            "tender-portal",
                            1500,
                            300,
                            20.0 / 28,
                            new MeasuredKind("read", "GET", "/tender-portal", true, 1, 1)),
                    new MeasuredService(
                            "protocol-registry",
                            5000,
                            100,
                            8.0 / 28,
                            new MeasuredKind(
                                    "proposal",
                                    "POST",
                                    "/protocol-registry/proposals",
                                    false,
                                    10,
                                    0.3),
                            new MeasuredKind(
                                    "registry-read", "GET", "/protocol-registry", true, 2, 0.7)));

    private final String name;
    private final int slots;
    private final List<String> availabilityZones;
    private final List<MeasuredService> services;

    private Deployment(
            String name, int slots, List<String> availabilityZones, MeasuredService... services) {
        this.name = name;
        this.slots = slots;
        this.availabilityZones = availabilityZones;
        this.services = List.of(services);
    }

    /**
     * Returns a deployment by its name.
     *
     * @param name the name, in any case
     * @return the deployment
     * @throws ResultException with {@link ResultCode#USAGE} if there is none
     */
    public static Deployment of(String name) {
        return Stream.of(QAZAQ, LOMBARD)
                .filter(deployment -> deployment.name.equals(name.toLowerCase(Locale.ROOT)))
                .findFirst()
                .orElseThrow(() -> new ResultException(ResultCode.USAGE, "no deployment " + name));
    }

    String name() {
        return name;
    }

    int slots() {
        return slots;
    }

    List<String> availabilityZones() {
        return availabilityZones;
    }

    List<MeasuredService> services() {
        return services;
    }

    String availabilityZoneOf(int number) {
        return availabilityZones.get(number % availabilityZones.size());
    }

    /** Returns the service of a backend server; the lowest numbers belong to the first service. */
    MeasuredService serviceOf(int number, int servers) {
        int serversOfFirst = serverCountOfFirstService(servers);
        return services.get(number < serversOfFirst ? 0 : 1);
    }

    /** Returns the mix of requests that loads all backend servers equally. */
    List<LoadKind> mix(int servers) {
        double firstShare = (double) serverCountOfFirstService(servers) / servers;
        List<LoadKind> kinds = new ArrayList<>();
        addKinds(kinds, services.get(0), firstShare);
        addKinds(kinds, services.get(1), 1 - firstShare);
        return kinds;
    }

    private int serverCountOfFirstService(int servers) {
        long rounded = Math.round(servers * services.get(0).serverShare());
        return (int) Math.max(1, Math.min(servers - 1L, rounded));
    }

    private static void addKinds(List<LoadKind> mix, MeasuredService service, double share) {
        for (MeasuredKind kind : service.kinds()) {
            mix.add(
                    new LoadKind(
                            kind.name(),
                            kind.method(),
                            kind.pathPrefix() + "/measured",
                            share * kind.share(),
                            kind.weight()));
        }
    }
}
