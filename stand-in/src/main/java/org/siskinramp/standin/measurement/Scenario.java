package org.siskinramp.standin.measurement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.standin.caller.LoadShape;

/** Scenarios of a measurement. Each sets the load of a run, and what disturbs the processes. */
public enum Scenario {
    /** Load at 50% of the capacity of the backend servers. */
    STEADY_50(0.5),
    /** Load at 70% of the capacity of the backend servers. */
    STEADY_70(0.7),
    /** Load at 85% of the capacity of the backend servers. */
    STEADY_85(0.85),
    /** The load doubles for the middle third of the run. */
    STEP(0.4) {
        @Override
        LoadShape shape(int targets, double milliseconds) {
            return new LoadShape(2, milliseconds / 3, milliseconds * 2 / 3, List.of());
        }
    },
    /** One entry host gets twice as many requests as each other one. */
    SKEW(0.7) {
        @Override
        LoadShape shape(int targets, double milliseconds) {
            List<Double> shares = new ArrayList<>(Collections.nCopies(targets, 1.0));
            shares.set(0, 2.0);
            return new LoadShape(1, 0, 0, shares);
        }
    },
    /** A few backend servers are slow, and every few hundred milliseconds they are chosen anew. */
    STRAGGLERS(0.7),
    /** One backend server immediately fails each request, for half of the run. */
    FAIL_FAST(0.7),
    /** A third of the backend servers become cold, one after another. */
    COLD_RESTARTS(0.6),
    /** An availability zone is taken out, and brought back a third of the run later. */
    ZONE_OUT_AND_BACK(0.5),
    /** The platform is down for some time. */
    PLATFORM_DOWN(0.6),
    /** One entry host is killed after a third of the run. */
    HOST_KILLED(0.5),
    /** Reads at a low rate, sent to a backend server directly and through one entry host. */
    ADDED_LATENCY(0),
    /** No requests at all. */
    IDLE(0);

    private final double utilisation;

    Scenario(double utilisation) {
        this.utilisation = utilisation;
    }

    /**
     * Returns a scenario by its label.
     *
     * @param label the name in lower case, with hyphens
     * @return the scenario
     * @throws ResultException with {@link ResultCode#USAGE} if there is none
     */
    public static Scenario of(String label) {
        return Arrays.stream(values())
                .filter(scenario -> scenario.label().equals(label))
                .findFirst()
                .orElseThrow(
                        () ->
                                new ResultException(
                                        ResultCode.USAGE,
                                        "no scenario " + label + "; there are " + labels()));
    }

    /**
     * Returns the name that is used on command lines and in reports.
     *
     * @return the name in lower case, with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns the labels of all scenarios.
     *
     * @return the labels, separated by spaces
     */
    public static String labels() {
        return Arrays.stream(values()).map(Scenario::label).collect(Collectors.joining(" "));
    }

    double utilisation() {
        return utilisation;
    }

    LoadShape shape(int targets, double milliseconds) {
        return LoadShape.STEADY;
    }

    Disturbance disturbance() {
        return switch (this) {
            case STRAGGLERS -> Disturbances::changeStragglers;
            case FAIL_FAST -> Disturbances::failFast;
            case COLD_RESTARTS -> Disturbances::makeServersCold;
            case ZONE_OUT_AND_BACK -> Disturbances::takeZoneOutAndBack;
            case PLATFORM_DOWN -> Disturbances::takePlatformDown;
            case HOST_KILLED -> Disturbances::killHost;
            default -> Disturbances::none;
        };
    }
}
