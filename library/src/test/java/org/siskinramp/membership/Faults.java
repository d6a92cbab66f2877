package org.siskinramp.membership;

import java.util.List;
import java.util.Random;

/** Disturbs a deployment for a while and then lets it recover. */
final class Faults {

    private static final int STEPS = 40;
    private static final int LONGEST_STEP_MILLISECONDS = 3_000;
    private static final long RECOVERY_MILLISECONDS = 60_000;

    private final Random random;
    private final Deployment deployment;
    private int started;

    Faults(long seed, MembershipOptions options) {
        random = new Random(seed);
        deployment = new Deployment(seed, options);
    }

    /** Runs faults and then a time without faults. */
    Deployment run() {
        int hosts = 3 + random.nextInt(7);
        for (int host = 0; host < hosts; host++) {
            deployment.start("entry-" + started++);
        }
        deployment.configure();
        deployment.runFor(15_000);
        for (int step = 0; step < STEPS; step++) {
            disturb();
            deployment.runFor(random.nextInt(LONGEST_STEP_MILLISECONDS));
        }
        recover();
        return deployment;
    }

    private void recover() {
        deployment.heal();
        deployment.hostNames().forEach(deployment::list);
        deployment.runFor(RECOVERY_MILLISECONDS);
    }

    private void disturb() {
        List<String> hosts = deployment.hostNames();
        String host = hosts.get(random.nextInt(hosts.size()));
        String other = hosts.get(random.nextInt(hosts.size()));

        switch (random.nextInt(17)) {
            case 0, 1 -> deployment.cut(host, other);
            case 2 -> hosts.forEach(peer -> deployment.cut(host, peer));
            case 3 -> hosts.forEach(peer -> deployment.cut(peer, host));
            case 4, 5 -> deployment.heal();
            case 6, 7 ->
                    deployment.host(host).pauseUntil(deployment.now() + random.nextInt(12_000));
            case 8 -> replace(host, host);
            case 9 -> replace(host, "entry-" + started++);
            case 10 -> deployment.storeDown(random.nextBoolean());
            case 11 -> deployment.storeLosesAnswers(random.nextBoolean());
            case 12 -> deployment.start("entry-" + started++);
            case 13 -> remove(host, hosts.size());
            case 14 -> deployment.disorder(random.nextDouble());
            case 15 -> deployment.cutFromStore(host);
            default -> stopAndReplace(host);
        }
        if (random.nextInt(3) == 0) {
            deployment.changeConfiguration();
        }
    }

    private void replace(String host, String successor) {
        deployment.kill(host);
        deployment.unlist(host);
        deployment.start(successor);
    }

    private void remove(String host, int hosts) {
        if (hosts > 3) {
            deployment.kill(host);
            deployment.unlist(host);
        }
    }

    private void stopAndReplace(String host) {
        deployment.host(host).membership().stop();
        deployment.runFor(random.nextInt(4_000));
        replace(host, host);
    }
}
