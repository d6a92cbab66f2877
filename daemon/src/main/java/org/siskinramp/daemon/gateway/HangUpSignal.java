package org.siskinramp.daemon.gateway;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which tells that the settings have changed and by default ends a Java process.
 * The JDK's internal signal classes are used by reflection, since compilers warn about direct use.
 */
public final class HangUpSignal {

    private static final String NAME = "HUP";

    private HangUpSignal() {}

    /**
     * Sets the action that each SIGHUP runs.
     *
     * @param action the action
     * @throws IllegalStateException if this Java runtime cannot handle signals
     */
    public static void handle(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object receiver =
                    Proxy.newProxyInstance(
                            HangUpSignal.class.getClassLoader(),
                            new Class<?>[] {handler},
                            (proxy, method, arguments) -> {
                                action.run();
                                return null;
                            });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(NAME), receiver);
        } catch (ReflectiveOperationException failure) {
            throw new IllegalStateException("signals cannot be handled", failure);
        }
    }
}
