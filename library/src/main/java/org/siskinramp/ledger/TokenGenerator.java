package org.siskinramp.ledger;

import org.apache.commons.rng.UniformRandomProvider;

/** Generates the tokens of claims, which are unique across all hosts and incarnations. */
final class TokenGenerator {

    private final String prefix;
    private final UniformRandomProvider random;
    private long sequence;

    TokenGenerator(String prefix, UniformRandomProvider random) {
        this.prefix = prefix;
        this.random = random;
    }

    synchronized String next() {
        sequence++;
        return prefix + "/" + sequence + "-" + Long.toHexString(random.nextLong());
    }
}
