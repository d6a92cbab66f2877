package org.siskinramp.peer;

/**
 * Lets the receiver of a message bound its time on the way without synchronised clocks, and
 * recognise duplicates.
 *
 * @param processStart a random number that identifies the start of the sender's process
 * @param sequence grows with each message to the same receiver
 * @param sentMilliseconds when the message was sent, by the sender's clock
 * @param echoMilliseconds the time stamp of the last message of the receiver that reached the
 *     sender, -1 if there was none
 * @param heldMilliseconds the time between the arrival of that message and the sending of this one
 */
public record QuotaStamp(
        long processStart,
        long sequence,
        long sentMilliseconds,
        long echoMilliseconds,
        long heldMilliseconds) {}
