package review;

/** Starts threads that end with the program. */
final class Threads {

    private Threads() {}

    /** Work that may fail because a connection was closed. */
    interface Task {
        void run() throws Exception;
    }

    static void start(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception connectionClosed) {
                                // The other side sees the close; callers judge what they got.
                                return;
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }
}
