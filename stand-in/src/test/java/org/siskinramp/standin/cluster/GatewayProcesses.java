package org.siskinramp.standin.cluster;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.siskinramp.adapter.Main;
import org.siskinramp.standin.upstream.GatewayWorld;

/** Starts gateways of a small deployment as processes. */
final class GatewayProcesses {

    /** As in deploy/system.toml. */
    private static final int HEAP_MEGABYTES = 64;

    private GatewayProcesses() {}

    /** Starts a gateway named for its number, which finds its store at an address. */
    static ProgramProcess launch(Path directory, int host, String zone, String store)
            throws IOException {
        Path settings = settings(directory, host);
        Files.writeString(
                settings,
                GatewayWorld.settings(store)
                        .replace("name = \"edge-1\"", "name = \"edge-" + host + "\"")
                        .replace("\"zone-a\"", "\"" + zone + "\""));
        return ProgramProcess.start(
                directory.resolve("edge-" + host + ".log"),
                Main.class,
                HEAP_MEGABYTES,
                List.of(settings.toString()));
    }

    /** Returns where the settings of a gateway are written. */
    static Path settings(Path directory, int host) {
        return directory.resolve("edge-" + host + ".toml");
    }
}
