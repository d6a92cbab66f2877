package org.siskinramp.standin.server;

import java.util.SplittableRandom;

/** The distribution of the service times of requests. */
public enum Distribution {
    /** Always the mean. */
    CONSTANT {
        @Override
        double draw(SplittableRandom random, double meanMilliseconds) {
            return meanMilliseconds;
        }
    },
    /** Exponential, with a standard deviation equal to the mean. */
    EXPONENTIAL {
        @Override
        double draw(SplittableRandom random, double meanMilliseconds) {
            return -meanMilliseconds * Math.log(1 - random.nextDouble());
        }
    },
    /** Lognormal with a heavy tail. */
    LOGNORMAL {
        @Override
        double draw(SplittableRandom random, double meanMilliseconds) {
            double gaussian =
                    Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
                            * Math.cos(2 * Math.PI * random.nextDouble());
            return meanMilliseconds
                    * Math.exp(LOGNORMAL_SIGMA * gaussian - LOGNORMAL_SIGMA * LOGNORMAL_SIGMA / 2);
        }
    };

    private static final double LOGNORMAL_SIGMA = 1;

    abstract double draw(SplittableRandom random, double meanMilliseconds);
}
