package org.siskinramp.host;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Records the latest events of a randomised run and the violations that it detected. */
final class RunTrace {

    private static final int MAXIMUM_EVENTS = 100_000;

    private final Deque<String> events = new ArrayDeque<>();
    private final List<String> violations = new ArrayList<>();

    void add(long now, String host, String line) {
        if (events.size() == MAXIMUM_EVENTS) {
            events.remove();
        }
        events.add(now + " " + host + " " + line);
    }

    void violation(String text) {
        violations.add(text);
    }

    List<String> violations() {
        return violations;
    }

    /** Returns the recorded events that contain a word. */
    List<String> eventsWith(String word) {
        List<String> found = new ArrayList<>();
        events.stream().filter(event -> event.contains(word)).forEach(found::add);
        return found;
    }
}
