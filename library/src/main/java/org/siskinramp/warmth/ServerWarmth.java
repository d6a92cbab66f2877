package org.siskinramp.warmth;

import org.siskinramp.health.MovingAverage;

/**
 * Keeps how many slots of one backend server are usable, as this host knows it. It is not safe for
 * use by several threads.
 *
 * <p>A judge raises the allowance step by step on answers in time. Any other host follows the
 * judge's word, and stops at once when it sees for itself that the server started anew.
 */
public final class ServerWarmth {

    private static final double LATENCY_WEIGHT = 0.05;
    private static final double SHORTEST_USUAL_LATENCY_MILLISECONDS = 5;

    private final WarmthOptions options;
    private int slots;
    private int coldSlots;
    private boolean judge;
    private int allowance;
    private int answersInStep;
    private long stepSince;
    private long closedUntil;
    private long wordUntil = Long.MIN_VALUE;
    private boolean wordKnown;
    private long sightedAt = Long.MIN_VALUE;
    private boolean sighted;
    private boolean closed;
    private String bootIdentity = "";
    private int slowInARow;
    private MovingAverage usualLatency;

    /**
     * Starts with a cold server.
     *
     * @param options times and counts
     * @param slots how many requests the server bears when warm
     * @param coldSlots how many requests it bears when cold
     * @param now monotonic milliseconds
     */
    public ServerWarmth(WarmthOptions options, int slots, int coldSlots, long now) {
        this.options = options;
        this.slots = slots;
        this.coldSlots = coldSlots;
        this.allowance = coldSlots;
        this.stepSince = now;
        this.closedUntil = now;
    }

    /**
     * Takes over new sizes from a change ticket.
     *
     * @param newSlots how many requests the server bears when warm
     * @param newColdSlots how many requests it bears when cold
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
     * Makes this host the judge, or not. A new judge keeps what it last knew if the former judge's
     * word is recent, and starts cold otherwise.
     *
     * @param value whether this host holds slot 0
     * @param now monotonic milliseconds
     */
    public void setJudge(boolean value, long now) {
        if (value == judge) {
            return;
        }
        boolean wordHolds = hasWord(now);
        judge = value;
        if (value && !wordHolds) {
            startCold(now);
        }
        if (!value) {
            wordKnown = true;
            wordUntil = now + options.wordLifetimeMilliseconds();
        }
    }

    private boolean hasWord(long now) {
        return wordKnown && !sighted && now < wordUntil;
    }

    /**
     * Returns how many slots are usable.
     *
     * @param now monotonic milliseconds
     * @return the allowance, from 0 to the number of slots
     */
    public int allowance(long now) {
        if (closed || now < closedUntil) {
            return 0;
        }
        if (judge) {
            return allowance;
        }
        return hasWord(now) ? allowance : 0;
    }

    /**
     * Returns what a judge tells the other hosts.
     *
     * @return the allowance without regard to the short pause after a cold start
     */
    public int judgedAllowance() {
        return closed ? 0 : allowance;
    }

    /** Closes the server to new work, since it is leaving or cannot be reached. */
    public void close() {
        closed = true;
    }

    /**
     * Makes only slot 0 usable, after a pause in which requests in other slots end.
     *
     * @param until when the pause ends, in monotonic milliseconds
     */
    public void isolate(long until) {
        allowance = 1;
        answersInStep = 0;
        closedUntil = Math.max(closedUntil, until);
    }

    /**
     * Tells whether the server is leaving or cannot be reached.
     *
     * @return true after {@link #close} until the next cold start
     */
    public boolean isClosed() {
        return closed;
    }

    /**
     * Tells whether this host judges the server.
     *
     * @return true if it holds slot 0
     */
    public boolean isJudge() {
        return judge;
    }

    /**
     * Tells whether the server is fully warm, as far as this host knows.
     *
     * @return true if all slots are usable
     */
    public boolean isWarm() {
        return !closed && allowance >= slots;
    }

    /**
     * Tells whether this host lacks the judge's word.
     *
     * @param now monotonic milliseconds
     * @return true while the judge must be asked
     */
    public boolean needsWord(long now) {
        return !judge && !hasWord(now);
    }

    /**
     * Returns the start of the server that the allowance is about. A request in a slot that only a
     * warm server bears must reach this start and no other.
     *
     * @return the boot identity, or an empty string if it is not known
     */
    public String bootIdentity() {
        return bootIdentity;
    }

    /**
     * Follows the judge's word on a start of the server. A judge ignores it.
     *
     * @param judgedAllowance the number of usable slots
     * @param judgedBoot the start of the server that the word is about
     * @param given a time, in monotonic milliseconds of this host, that the word is not older than
     * @return true if the word is about another start than the one known before
     */
    public boolean hearWord(int judgedAllowance, String judgedBoot, long given) {
        if (judge || given < sightedAt) {
            return false;
        }
        boolean another = !bootIdentity.isEmpty() && !judgedBoot.equals(bootIdentity);
        sighted = false;
        closed = false;
        wordKnown = true;
        bootIdentity = judgedBoot;
        allowance = Math.min(judgedAllowance, slots);
        wordUntil = Math.max(wordUntil, given + options.wordLifetimeMilliseconds());
        return another;
    }

    /**
     * Follows the judge's word that the server is still warm. It counts only if an earlier word
     * told which start of the server is meant.
     *
     * @param given a time, in monotonic milliseconds of this host, that the word is not older than
     */
    public void hearStillWarm(long given) {
        if (!judge && wordKnown && !sighted && given >= sightedAt) {
            closed = false;
            allowance = slots;
            wordUntil = Math.max(wordUntil, given + options.wordLifetimeMilliseconds());
        }
    }

    /**
     * Follows a word of unknown age: it can only lower the allowance.
     *
     * @param judgedAllowance the number of usable slots
     */
    public void hearReduction(int judgedAllowance) {
        if (!judge) {
            allowance = Math.min(allowance, judgedAllowance);
        }
    }

    /**
     * Compares the boot identity in an answer or a probe with the last one.
     *
     * @param seen the identity that was seen, or an empty string
     * @param now monotonic milliseconds
     * @return true if the server was found to have started anew
     */
    public boolean seeBootIdentity(String seen, long now) {
        if (seen.isEmpty() || seen.equals(bootIdentity)) {
            return false;
        }
        boolean another = !bootIdentity.isEmpty();
        if (judge || another) {
            bootIdentity = seen;
        }
        if (another) {
            startCold(now);
        }
        return another;
    }

    /**
     * Records an answer in time.
     *
     * @param latencyMilliseconds how long it took
     * @param now monotonic milliseconds
     * @return true if a warm server was found to have turned cold, since it answers slowly
     */
    public boolean recordAnswer(long latencyMilliseconds, long now) {
        if (usualLatency == null) {
            usualLatency = new MovingAverage((double) latencyMilliseconds, LATENCY_WEIGHT);
        }
        double usual = Math.max(SHORTEST_USUAL_LATENCY_MILLISECONDS, usualLatency.value());
        boolean slow = latencyMilliseconds > options.slowFactor() * usual;
        usualLatency.add((double) latencyMilliseconds);
        slowInARow = slow ? slowInARow + 1 : 0;
        if (slowInARow >= options.slowAnswersInARow() && allowance > coldSlots) {
            startCold(now);
            return true;
        }
        if (judge && !slow) {
            rise(now);
        }
        return false;
    }

    /**
     * Takes in the answers that a borrower of a slot got in time.
     *
     * @param answers how many
     * @param now monotonic milliseconds
     */
    public void recordAnswersElsewhere(int answers, long now) {
        for (int count = 0; judge && count < answers; count++) {
            rise(now);
        }
    }

    private void rise(long now) {
        answersInStep++;
        boolean ripe =
                answersInStep >= options.answersPerStep()
                        && now - stepSince >= options.stepMilliseconds();
        if (ripe && allowance < slots) {
            allowance++;
            answersInStep = 0;
            stepSince = now;
        }
    }

    /**
     * Treats the server as cold from now on: on first sight, after a new start, a refused
     * connection, or a return from service.
     *
     * @param now monotonic milliseconds
     */
    public void startCold(long now) {
        allowance = coldSlots;
        answersInStep = 0;
        stepSince = now;
        slowInARow = 0;
        usualLatency = null;
        closed = false;
        closedUntil = now + options.settleMilliseconds();
        wordKnown = false;
        sighted = !judge;
        sightedAt = now;
    }
}
