package org.siskinramp.warmth;

import org.siskinramp.health.MovingAverage;

/**
 * Tracks the warm-up state of one backend server on this host: its allowance, the number of its
 * slots that are usable now. It is not thread-safe.
 *
 * <p>The server's warm-up coordinator raises the allowance step by step as answers succeed. Any
 * other host applies the allowance updates of the coordinator. Once it detects a cold start itself,
 * its allowance is zero until a newer update arrives.
 */
public final class ServerWarmUp {

    private static final double LATENCY_SMOOTHING_WEIGHT = 0.05;
    private static final double MINIMUM_BASELINE_LATENCY_MILLISECONDS = 5;

    private final WarmUpOptions options;
    private int slots;
    private int coldSlots;
    private boolean coordinator;
    private int allowance;
    private int answersInStep;
    private long stepStartedAt;
    private long pausedUntil;
    private long allowanceValidUntil = Long.MIN_VALUE;
    private boolean allowanceReceived;
    private long coldStartAt = Long.MIN_VALUE;
    private boolean coldStartUnconfirmed;
    private boolean closed;
    private String bootIdentity = "";
    private int slowInARow;
    private MovingAverage averageLatency;

    /**
     * Creates the state of a cold server.
     *
     * @param options the settings of the warm-up
     * @param slots how many concurrent requests the server can process when warm
     * @param coldSlots how many concurrent requests it can process when cold
     * @param now monotonic milliseconds
     */
    public ServerWarmUp(WarmUpOptions options, int slots, int coldSlots, long now) {
        this.options = options;
        this.slots = slots;
        this.coldSlots = coldSlots;
        this.allowance = coldSlots;
        this.stepStartedAt = now;
        this.pausedUntil = now;
    }

    /**
     * Applies new limits from a changed configuration.
     *
     * @param newSlots how many concurrent requests the server can process when warm
     * @param newColdSlots how many concurrent requests it can process when cold
     */
    public void resize(int newSlots, int newColdSlots) {
        if (allowance == slots) {
            allowance = newSlots;
        }
        slots = newSlots;
        coldSlots = newColdSlots;
        allowance = Math.min(allowance, slots);
    }

    /**
     * Sets whether this host is the warm-up coordinator. A new coordinator keeps the allowance if
     * the last update of the former coordinator is still valid, and otherwise treats the server as
     * cold.
     *
     * @param value whether this host holds slot 0
     * @param now monotonic milliseconds
     */
    public void setCoordinator(boolean value, long now) {
        if (value == coordinator) {
            return;
        }
        boolean allowanceWasValid = hasValidAllowance(now);
        coordinator = value;
        if (value && !allowanceWasValid) {
            resetToCold(now);
        }
        if (!value) {
            allowanceReceived = true;
            allowanceValidUntil = now + options.allowanceLifetimeMilliseconds();
        }
    }

    private boolean hasValidAllowance(long now) {
        return allowanceReceived && !coldStartUnconfirmed && now < allowanceValidUntil;
    }

    /**
     * Returns how many slots are usable.
     *
     * @param now monotonic milliseconds
     * @return the allowance, from 0 to the number of slots; 0 while the server is closed or paused,
     *     or on other hosts than the coordinator without a valid update
     */
    public int allowance(long now) {
        if (closed || now < pausedUntil) {
            return 0;
        }
        if (coordinator) {
            return allowance;
        }
        return hasValidAllowance(now) ? allowance : 0;
    }

    /**
     * Returns the allowance that the coordinator sends to the other hosts.
     *
     * @return the allowance regardless of the pause after a cold start; 0 if the server is closed
     */
    public int announcedAllowance() {
        return closed ? 0 : allowance;
    }

    /** Closes the server to new requests, since it is leaving or cannot be reached. */
    public void close() {
        closed = true;
    }

    /**
     * Limits the server to slot 0, after a pause in which requests in other slots complete.
     *
     * @param until when the pause ends, in monotonic milliseconds
     */
    public void isolate(long until) {
        allowance = 1;
        answersInStep = 0;
        pausedUntil = Math.max(pausedUntil, until);
    }

    /**
     * Tells whether the server is closed to new requests.
     *
     * @return true after {@link #close} until the next cold start, or the next allowance update on
     *     hosts other than the coordinator
     */
    public boolean isClosed() {
        return closed;
    }

    /**
     * Tells whether this host is the warm-up coordinator of the server.
     *
     * @return true if it holds slot 0
     */
    public boolean isCoordinator() {
        return coordinator;
    }

    /**
     * Tells whether the server is fully warm according to the last known allowance.
     *
     * @return true if all slots are usable and the server is not closed
     */
    public boolean isWarm() {
        return !closed && allowance >= slots;
    }

    /**
     * Tells whether this host must request the allowance from the coordinator.
     *
     * @param now monotonic milliseconds
     * @return true if this host is not the coordinator and has no valid allowance update
     */
    public boolean needsAllowance(long now) {
        return !coordinator && !hasValidAllowance(now);
    }

    /**
     * Returns the server process that the allowance applies to. A request in a slot beyond the
     * limit of a cold server may only run on this process, since a restarted server is cold.
     *
     * @return the boot identity of the process, or an empty string if it is not known
     */
    public String bootIdentity() {
        return bootIdentity;
    }

    /**
     * Applies an allowance update from the coordinator. It is ignored on the coordinator itself,
     * and if it may have been sent before this host detected a cold start.
     *
     * @param newAllowance the number of usable slots
     * @param newBootIdentity the boot identity of the server process that the update applies to
     * @param earliestSentAt the earliest time at which the update may have been sent, in monotonic
     *     milliseconds of this host
     * @return true if the update is about another server process than the one known before
     */
    public boolean applyAllowance(int newAllowance, String newBootIdentity, long earliestSentAt) {
        if (coordinator || earliestSentAt < coldStartAt) {
            return false;
        }
        boolean restarted = !bootIdentity.isEmpty() && !newBootIdentity.equals(bootIdentity);
        coldStartUnconfirmed = false;
        closed = false;
        allowanceReceived = true;
        bootIdentity = newBootIdentity;
        allowance = Math.min(newAllowance, slots);
        allowanceValidUntil =
                Math.max(
                        allowanceValidUntil,
                        earliestSentAt + options.allowanceLifetimeMilliseconds());
        return restarted;
    }

    /**
     * Applies a heartbeat of the coordinator that omits the server, which means that it is fully
     * warm. It counts only if an earlier update named the server process, since such a heartbeat
     * does not.
     *
     * @param earliestSentAt the earliest time at which the heartbeat may have been sent, in
     *     monotonic milliseconds of this host
     */
    public void applyFullAllowance(long earliestSentAt) {
        if (!coordinator
                && allowanceReceived
                && !coldStartUnconfirmed
                && earliestSentAt >= coldStartAt) {
            closed = false;
            allowance = slots;
            allowanceValidUntil =
                    Math.max(
                            allowanceValidUntil,
                            earliestSentAt + options.allowanceLifetimeMilliseconds());
        }
    }

    /**
     * Applies an allowance update of unknown age, which can only lower the allowance.
     *
     * @param newAllowance the number of usable slots
     */
    public void applyReduction(int newAllowance) {
        if (!coordinator) {
            allowance = Math.min(allowance, newAllowance);
        }
    }

    /**
     * Detects a restart by comparing the boot identity in an answer or a probe with the last one.
     *
     * @param observed the boot identity in the answer or probe, or an empty string
     * @param now monotonic milliseconds
     * @return true if the server has restarted
     */
    public boolean observeBootIdentity(String observed, long now) {
        if (observed.isEmpty() || observed.equals(bootIdentity)) {
            return false;
        }
        boolean restarted = !bootIdentity.isEmpty();
        if (coordinator || restarted) {
            bootIdentity = observed;
        }
        if (restarted) {
            resetToCold(now);
        }
        return restarted;
    }

    /**
     * Records a successful answer to a request of this host.
     *
     * @param latencyMilliseconds how long it took, in milliseconds
     * @param now monotonic milliseconds
     * @return true if the server now counts as cold because of consecutive slow answers
     */
    public boolean recordAnswer(long latencyMilliseconds, long now) {
        if (averageLatency == null) {
            averageLatency =
                    new MovingAverage((double) latencyMilliseconds, LATENCY_SMOOTHING_WEIGHT);
        }
        double baselineMilliseconds =
                Math.max(MINIMUM_BASELINE_LATENCY_MILLISECONDS, averageLatency.value());
        boolean slow = latencyMilliseconds > options.slowLatencyFactor() * baselineMilliseconds;
        averageLatency.add((double) latencyMilliseconds);
        slowInARow = slow ? slowInARow + 1 : 0;
        if (slowInARow >= options.slowAnswersInARow() && allowance > coldSlots) {
            resetToCold(now);
            return true;
        }
        if (coordinator && !slow) {
            countTowardsNextStep(now);
        }
        return false;
    }

    /**
     * Counts the successful answers that the borrower of a slot received towards the next step.
     *
     * @param answers the number of answers
     * @param now monotonic milliseconds
     */
    public void recordBorrowerAnswers(int answers, long now) {
        for (int count = 0; coordinator && count < answers; count++) {
            countTowardsNextStep(now);
        }
    }

    private void countTowardsNextStep(long now) {
        answersInStep++;
        boolean stepComplete =
                answersInStep >= options.answersPerStep()
                        && now - stepStartedAt >= options.stepMilliseconds();
        if (stepComplete && allowance < slots) {
            allowance++;
            answersInStep = 0;
            stepStartedAt = now;
        }
    }

    /**
     * Treats the server as cold from now on: after a restart, a broken or refused connection, a
     * shed request, slow answers or the report of another host, when it is leaving or returns to
     * service, when its address changes, and when this host becomes its coordinator without a valid
     * allowance.
     *
     * @param now monotonic milliseconds
     */
    public void resetToCold(long now) {
        allowance = coldSlots;
        answersInStep = 0;
        stepStartedAt = now;
        slowInARow = 0;
        averageLatency = null;
        closed = false;
        pausedUntil = now + options.coldStartPauseMilliseconds();
        allowanceReceived = false;
        coldStartUnconfirmed = !coordinator;
        coldStartAt = now;
    }
}
