package org.siskinramp.daemon.gateway;

import java.lang.reflect.Proxy;

/**
 * Receives the signal that tells of changed settings, which otherwise ends a Java process. The
 * class behind it is reached by its name, since compilers warn of it.
 */
public final class HangUpSignal {

    private static final String NAME = "HUP";

    private HangUpSignal() {}

    /**
     * Runs an action at each signal.
     *
     * @param action what to do
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
