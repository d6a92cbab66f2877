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

/** Names what load a run carries and what disturbs it. */
public enum Scenario {
    /** Half of what the backend servers bear. */
    STEADY_50(0.5),
    /** 70% of what the backend servers bear. */
    STEADY_70(0.7),
    /** 85% of what the backend servers bear. */
    STEADY_85(0.85),
    /** The load doubles for the middle third of the run. */
    STEP(0.4) {
        @Override
        LoadShape shape(int targets, double milliseconds) {
            return new LoadShape(2, milliseconds / 3, milliseconds * 2 / 3, List.of());
        }
    },
    /** One entry host gets twice what each other gets. */
    SKEW(0.7) {
        @Override
        LoadShape shape(int targets, double milliseconds) {
            List<Double> shares = new ArrayList<>(Collections.nCopies(targets, 1.0));
            shares.set(0, 2.0);
            return new LoadShape(1, 0, 0, shares);
        }
    },
    /** Some backend servers are slow, and others every few hundred milliseconds. */
    STRAGGLERS(0.7),
    /** One backend server fails every request at once for half of the run. */
    FAIL_FAST(0.7),
    /** A third of the backend servers turn cold one after another. */
    COLD_RESTARTS(0.6),
    /** An availability zone is taken out, and brought back a third of the run later. */
    ZONE_OUT_AND_BACK(0.5),
    /** The platform's service is down for some time. */
    PLATFORM_DOWN(0.6),
    /** One entry host is killed after a third of the run. */
    HOST_KILLED(0.5),
    /** Few requests, sent to a backend server directly and through one entry host. */
    ADDED_LATENCY(0),
    /** No requests at all. */
    IDLE(0);

    private final double utilisation;

    Scenario(double utilisation) {
        this.utilisation = utilisation;
    }

    /**
     * Finds a scenario.
     *
     * @param word its name in lower case with hyphens
     * @return the scenario
     * @throws ResultException with {@link ResultCode#USAGE} if there is none
     */
    public static Scenario of(String word) {
        return Arrays.stream(values())
                .filter(scenario -> scenario.word().equals(word))
                .findFirst()
                .orElseThrow(
                        () ->
                                new ResultException(
                                        ResultCode.USAGE,
                                        "no scenario " + word + "; there are " + words()));
    }

    /**
     * Returns the name used on command lines and in reports.
     *
     * @return the name in lower case with hyphens
     */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns the names of all scenarios.
     *
     * @return the names, separated by spaces
     */
    public static String words() {
        return Arrays.stream(values()).map(Scenario::word).collect(Collectors.joining(" "));
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
            case COLD_RESTARTS -> Disturbances::turnCold;
            case ZONE_OUT_AND_BACK -> Disturbances::takeZoneOutAndBack;
            case PLATFORM_DOWN -> Disturbances::takePlatformDown;
            case HOST_KILLED -> Disturbances::killHost;
            default -> Disturbances::none;
        };
    }
}
