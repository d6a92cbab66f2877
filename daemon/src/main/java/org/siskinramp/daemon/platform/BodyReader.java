package org.siskinramp.daemon.platform;

import java.io.IOException;

/** Parses the body of an answer. */
@FunctionalInterface
interface BodyReader<T> {

    T read(byte[] body) throws IOException;
}
