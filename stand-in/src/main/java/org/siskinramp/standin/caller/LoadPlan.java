package org.siskinramp.standin.caller;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.siskinramp.request.RequestKey;

/** Draws all requests of a run from its seed, with exponential intervals between them. */
final class LoadPlan {

    private static final double MILLISECONDS_PER_SECOND = 1000;

    private final CallerSettings settings;
    private final SplittableRandom random;
    private final double totalShare;

    private LoadPlan(CallerSettings settings) {
        this.settings = settings;
        random = new SplittableRandom(settings.seed());
        totalShare = settings.kinds().stream().mapToDouble(LoadKind::share).sum();
    }

    static List<PlannedRequest> draw(CallerSettings settings) {
        return new LoadPlan(settings).drawAll();
    }

    private List<PlannedRequest> drawAll() {
        List<PlannedRequest> requests = new ArrayList<>(settings.requests());
        double sendAfter = 0;
        for (int number = 0; number < settings.requests(); number++) {
            sendAfter += drawIntervalMilliseconds(sendAfter);
            requests.add(drawRequest(number, sendAfter));
        }
        return requests;
    }

    private PlannedRequest drawRequest(int number, double sendAfter) {
        LoadKind kind = drawKind();
        String caller = "caller-" + random.nextInt(settings.callers());
        String requestId = "run-" + settings.seed() + "-" + number;
        int target = settings.shape().drawTarget(random, settings.targets().size());
        String content = kind.isIdempotent() ? "" : kind.name() + " " + requestId;
        return new PlannedRequest(
                new RequestKey(caller, requestId),
                kind,
                content.getBytes(StandardCharsets.UTF_8),
                target,
                drawResendTarget(kind, target),
                number >= settings.warmUpRequests(),
                sendAfter);
    }

    private int drawResendTarget(LoadKind kind, int target) {
        boolean resent = random.nextDouble() < settings.resendShare();
        if (kind.isIdempotent() || !resent) {
            return -1;
        }
        return (target + 1) % settings.targets().size();
    }

    private LoadKind drawKind() {
        double point = random.nextDouble() * totalShare;
        for (LoadKind kind : settings.kinds()) {
            point -= kind.share();
            if (point < 0) {
                return kind;
            }
        }
        return settings.kinds().get(settings.kinds().size() - 1);
    }

    private double drawIntervalMilliseconds(double nowMilliseconds) {
        double requestsPerSecond =
                settings.requestsPerSecond() * settings.shape().rateFactorAt(nowMilliseconds);
        double meanMilliseconds = MILLISECONDS_PER_SECOND / requestsPerSecond;
        return -meanMilliseconds * Math.log(1 - random.nextDouble());
    }
}
