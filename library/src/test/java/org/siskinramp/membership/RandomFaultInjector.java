package org.siskinramp.membership;

import java.util.List;
import java.util.Random;

/** Injects random faults into a simulated deployment and then lets it recover. */
final class RandomFaultInjector {

    private static final int STEPS = 40;
    private static final int MAXIMUM_STEP_MILLISECONDS = 3_000;
    private static final long RECOVERY_MILLISECONDS = 60_000;

    private final Random random;
    private final SimulatedDeployment deployment;
    private int startedHosts;

    RandomFaultInjector(long seed, MembershipOptions options) {
        random = new Random(seed);
        deployment = new SimulatedDeployment(seed, options);
    }

    /** Runs a phase with random faults and a recovery phase without faults. */
    SimulatedDeployment run() {
        int hosts = 3 + random.nextInt(7);
        for (int host = 0; host < hosts; host++) {
            deployment.start("entry-" + startedHosts++);
        }
        deployment.configureServices();
        deployment.runFor(15_000);
        for (int step = 0; step < STEPS; step++) {
            injectFault();
            deployment.runFor(random.nextInt(MAXIMUM_STEP_MILLISECONDS));
        }
        recover();
        return deployment;
    }

    private void recover() {
        deployment.heal();
        deployment.hostNames().forEach(deployment::list);
        deployment.runFor(RECOVERY_MILLISECONDS);
    }

    private void injectFault() {
        List<String> hosts = deployment.hostNames();
        String host = hosts.get(random.nextInt(hosts.size()));
        String other = hosts.get(random.nextInt(hosts.size()));

        switch (random.nextInt(17)) {
            case 0, 1 -> deployment.cutLink(host, other);
            case 2 -> hosts.forEach(peer -> deployment.cutLink(host, peer));
            case 3 -> hosts.forEach(peer -> deployment.cutLink(peer, host));
            case 4, 5 -> deployment.heal();
            case 6, 7 ->
                    deployment.host(host).pauseUntil(deployment.now() + random.nextInt(12_000));
            case 8 -> replace(host, host);
            case 9 -> replace(host, "entry-" + startedHosts++);
            case 10 -> deployment.setStoreDown(random.nextBoolean());
            case 11 -> deployment.setStoreLosesAnswers(random.nextBoolean());
            case 12 -> deployment.start("entry-" + startedHosts++);
            case 13 -> remove(host, hosts.size());
            case 14 -> deployment.setMessageFaultShare(random.nextDouble());
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
