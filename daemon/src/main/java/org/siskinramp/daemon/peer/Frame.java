package org.siskinramp.daemon.peer;

/** Holds an encoded message with its length field. */
@SuppressWarnings("ArrayRecordComponent")
record Frame(String messageType, byte[] bytes) {}
