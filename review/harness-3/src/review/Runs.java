package review;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Judges what the servers ran. */
final class Runs {

    private Runs() {}

    /** Returns the requests with method GET that ran on more than a number of servers. */
    static List<String> readsOnMoreServersThan(int servers, List<Server.Run> runs) {
        Map<String, Set<String>> serversByRequest = new TreeMap<>();
        for (Server.Run run : runs) {
            if (run.method().equals("GET")) {
                serversByRequest
                        .computeIfAbsent(run.requestId(), requestId -> new HashSet<>())
                        .add(run.server());
            }
        }
        List<String> exceeded = new ArrayList<>();
        serversByRequest.forEach(
                (requestId, ranOn) -> {
                    if (ranOn.size() > servers) {
                        exceeded.add(requestId);
                    }
                });
        return exceeded;
    }
}
