package org.siskinramp.standin.cluster;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.siskinramp.adapter.Main;
import org.siskinramp.standin.upstream.SampleDeployment;

/** Starts the gateways of a small deployment as processes. */
final class GatewayProcesses {

    /** The same heap size as in deploy/system.toml. */
    private static final int HEAP_MEGABYTES = 64;

    private GatewayProcesses() {}

    /**
     * Starts the gateway {@code edge-HOST}.
     *
     * @param directory where its settings and its log are written
     * @param host its number
     * @param zone its availability zone
     * @param store the address of its store as {@code ip:port}
     */
    static ProgramProcess launch(Path directory, int host, String zone, String store)
            throws IOException {
        Path settings = settings(directory, host);
        Files.writeString(
                settings,
                SampleDeployment.settings(store)
                        .replace("name = \"edge-1\"", "name = \"edge-" + host + "\"")
                        .replace("\"zone-a\"", "\"" + zone + "\""));
        return ProgramProcess.start(
                directory.resolve("edge-" + host + ".log"),
                Main.class,
                HEAP_MEGABYTES,
                List.of(settings.toString()));
    }

    /** Returns the path of the settings file of a gateway. */
    static Path settings(Path directory, int host) {
        return directory.resolve("edge-" + host + ".toml");
    }
}
