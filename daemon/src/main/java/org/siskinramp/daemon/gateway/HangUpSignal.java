package org.siskinramp.daemon.gateway;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which tells that the settings have changed and by default ends a Java process.
 * The JDK's internal signal classes are used by reflection, since compilers warn about direct use.
 */
public final class HangUpSignal {

    private static final String NAME = "HUP";

    private static final Object STATE_LOCK = new Object();
    private static Runnable action;
    private static boolean pending;

    private HangUpSignal() {}

    /**
     * Handles the signal from now on. A signal that arrives before {@link #setAction} is kept.
     *
     * @throws IllegalStateException if this Java runtime cannot handle signals
     */
    public static void install() {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object receiver =
                    Proxy.newProxyInstance(
                            HangUpSignal.class.getClassLoader(),
                            new Class<?>[] {handler},
                            (proxy, method, arguments) -> {
                                receive();
                                return null;
                            });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(NAME), receiver);
        } catch (ReflectiveOperationException failure) {
            throw new IllegalStateException("signals cannot be handled", failure);
        }
    }

    /**
     * Sets the action that each signal runs, and runs it at once if one has arrived before.
     *
     * @param value the action
     */
    public static void setAction(Runnable value) {
        boolean received;
        synchronized (STATE_LOCK) {
            action = value;
            received = pending;
            pending = false;
        }
        if (received) {
            value.run();
        }
    }

    static void receive() {
        Runnable current;
        synchronized (STATE_LOCK) {
            current = action;
            pending = current == null;
        }
        if (current != null) {
            current.run();
        }
    }
}
