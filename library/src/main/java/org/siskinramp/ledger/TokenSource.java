package org.siskinramp.ledger;

import org.apache.commons.rng.UniformRandomProvider;

/** Makes tokens that no other attempt of any host has. */
final class TokenSource {

    private final String prefix;
    private final UniformRandomProvider random;
    private long sequence;

    TokenSource(String prefix, UniformRandomProvider random) {
        this.prefix = prefix;
        this.random = random;
    }

    synchronized String next() {
        sequence++;
        return prefix + "/" + sequence + "-" + Long.toHexString(random.nextLong());
    }
}
