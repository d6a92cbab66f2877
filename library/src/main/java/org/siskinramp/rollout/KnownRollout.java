package org.siskinramp.rollout;

/**
 * What this host knows of an order. The start is kept in monotonic milliseconds of this host.
 *
 * @param order the order; its version is that of the removal if the order was removed
 * @param isRemoved whether the operator removed or replaced the order
 * @param stage the latest stage that was recorded in the store
 * @param isRecorded whether the store is known to hold this stage
 * @param startedAtMilliseconds when the order was given, or read first if that is unknown
 * @param isStartKnown whether this host or a peer saw the order arrive
 * @param removedAtMilliseconds when this host learned of the removal
 */
record KnownRollout(
        RolloutOrder order,
        boolean isRemoved,
        RolloutStage stage,
        boolean isRecorded,
        long startedAtMilliseconds,
        boolean isStartKnown,
        long removedAtMilliseconds) {

    /**
     * For this long after its removal an order still keeps requests from its target: the servers of
     * a target that was rolled back drain some seconds after that.
     */
    static final long HOLD_AFTER_REMOVAL_MILLISECONDS = 30_000;

    /** A message that was delayed for less than this does not restore a removed order. */
    static final long REMOVAL_RETENTION_MILLISECONDS = 600_000;

    static KnownRollout first(RolloutOrder order, boolean isStartKnown, long now) {
        return new KnownRollout(order, false, RolloutStage.ORDERED, false, now, isStartKnown, 0);
    }

    static KnownRollout of(RolloutReport report, long now) {
        boolean isStartKnown = report.ageMilliseconds() != RolloutReport.UNKNOWN_AGE;
        return new KnownRollout(
                report.order(),
                report.isRemoved(),
                report.stage(),
                report.isRecorded(),
                now - Math.max(0, report.ageMilliseconds()),
                isStartKnown,
                now);
    }

    RolloutReport reportAt(long now) {
        return new RolloutReport(
                order,
                isRemoved,
                stage,
                isRecorded,
                isStartKnown ? now - startedAtMilliseconds : RolloutReport.UNKNOWN_AGE);
    }

    KnownRollout removedBy(long version, long now) {
        RolloutOrder removal =
                new RolloutOrder(
                        order.service(),
                        order.target(),
                        order.durationMilliseconds(),
                        order.rowVersion(),
                        version);
        return new KnownRollout(
                removal, true, stage, isRecorded, startedAtMilliseconds, isStartKnown, now);
    }

    KnownRollout withStage(RolloutStage newStage, boolean recorded) {
        return new KnownRollout(
                order,
                isRemoved,
                newStage,
                recorded,
                startedAtMilliseconds,
                isStartKnown,
                removedAtMilliseconds);
    }

    /** Continues the same order, which was read from a restored copy of the store. */
    KnownRollout continuedAs(RolloutOrder restored) {
        return new KnownRollout(
                restored, false, stage, false, startedAtMilliseconds, isStartKnown, 0);
    }

    /** Joins what two hosts know of the same version of an order. */
    KnownRollout joinedWith(KnownRollout other) {
        boolean otherIsFurther = other.stage.compareTo(stage) > 0 && !stage.isFinal();
        boolean joinedRecorded = isRecorded || (other.isRecorded && other.stage == stage);
        boolean adoptsStart =
                other.isStartKnown
                        && (!isStartKnown || other.startedAtMilliseconds < startedAtMilliseconds);
        return new KnownRollout(
                order,
                isRemoved,
                otherIsFurther ? other.stage : stage,
                otherIsFurther ? other.isRecorded : joinedRecorded,
                adoptsStart ? other.startedAtMilliseconds : startedAtMilliseconds,
                isStartKnown || other.isStartKnown,
                removedAtMilliseconds);
    }

    boolean holdsTarget(long now) {
        return !stage.allowsTarget()
                && (!isRemoved || now - removedAtMilliseconds < HOLD_AFTER_REMOVAL_MILLISECONDS);
    }

    boolean isForgettable(long now) {
        return isRemoved && now - removedAtMilliseconds >= REMOVAL_RETENTION_MILLISECONDS;
    }

    /** Tells whether peers still have to learn of this order. */
    boolean isAnnounced(long now) {
        return !isRemoved || now - removedAtMilliseconds < HOLD_AFTER_REMOVAL_MILLISECONDS;
    }

    boolean differsFrom(KnownRollout other) {
        return other == null
                || !order.equals(other.order)
                || isRemoved != other.isRemoved
                || stage != other.stage
                || isRecorded != other.isRecorded;
    }
}
