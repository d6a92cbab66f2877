package review;

import java.nio.file.Path;
import java.util.List;

/** A caller sends requests whose method has lower case letters, such as "patch". */
final class MethodInLowerCase {

    private static final int REQUESTS = 5;
    private static final long WORK_MILLISECONDS = 50;

    private MethodInLowerCase() {}

    public static void main(String[] arguments) throws Exception {
        Case.run(Path.of(arguments[0]), MethodInLowerCase::breaksRule);
    }

    private static boolean breaksRule(Record record, boolean trouble) throws Exception {
        String method = trouble ? "patch" : "PATCH";
        try (Deployment deployment = new Deployment(record, WORK_MILLISECONDS)) {
            for (int number = 1; number <= REQUESTS; number++) {
                try (Caller caller = deployment.gateway().connect(record)) {
                    caller.send(method, "/write/" + number, "m-" + number, "", "content");
                    Caller.Answer unused = caller.read();
                }
            }
            List<Server.Run> runs = deployment.runs();
            if (!deployment.gateway().isRunning()) {
                throw new IllegalStateException("the gateway ended");
            }
            long changed = runs.stream().filter(run -> !run.method().equals(method)).count();
            record.add("run with another method: " + changed + " of " + runs.size());
            return changed > 0;
        }
    }
}
