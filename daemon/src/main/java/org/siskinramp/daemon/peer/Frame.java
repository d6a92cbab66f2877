package org.siskinramp.daemon.peer;

/** An encoded message, including its length field. */
@SuppressWarnings("ArrayRecordComponent")
record Frame(String messageType, byte[] bytes) {}
