package org.siskinramp.daemon.commandline;

import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import org.kohsuke.args4j.Option;
import org.siskinramp.daemon.administration.AdministrationToken;
import org.siskinramp.daemon.administration.ErrorBody;
import org.siskinramp.daemon.settings.Settings;
import org.siskinramp.daemon.settings.SettingsFile;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** A command that calls the administration API of an entry host. */
abstract class AdministrationCommand extends Command {

    private static final int OK = 200;

    @Option(
            name = "--settings",
            metaVar = "FILE",
            usage = "settings file of an entry host, to read the address and the token file from",
            forbids = {"--administration", "--token-file"})
    private Path settings;

    @Option(
            name = "--administration",
            metaVar = "URL",
            usage = "URL of the administration API, such as http://10.0.0.1:9000",
            depends = {"--token-file"})
    private URI administration;

    @Option(
            name = "--token-file",
            metaVar = "FILE",
            usage = "file with the token",
            depends = {"--administration"})
    private Path tokenFile;

    @Option(name = "--json", usage = "print the answer as JSON")
    private boolean json;

    @Override
    final ExitStatus run(Console console) {
        ApiReply reply = exchange(client());
        if (reply.status() != OK) {
            console.errors().println(json ? reply.body().strip() : errorLine(reply));
            return ExitStatus.FAILURE;
        }
        console.output().println(json ? reply.body().strip() : describe(reply.body()).strip());
        return ExitStatus.SUCCESS;
    }

    /** Sends the request of this command and returns the answer. */
    abstract ApiReply exchange(AdministrationClient client);

    /** Formats the JSON of a result as readable text. */
    abstract String describe(String body);

    private AdministrationClient client() {
        if (settings != null) {
            Settings.Administration section =
                    SettingsFile.check(settings).settings().administration();
            return new AdministrationClient(
                    uriOf(section.address()), AdministrationToken.read(section.tokenFile()));
        }
        if (administration == null) {
            throw new ResultException(
                    ResultCode.USAGE,
                    "--settings or --administration with --token-file is required");
        }
        if (!"http".equals(administration.getScheme()) || administration.getHost() == null) {
            throw new ResultException(ResultCode.USAGE, administration + " is not an http URL");
        }
        return new AdministrationClient(administration, AdministrationToken.read(tokenFile));
    }

    private static URI uriOf(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return URI.create(
                "http://"
                        + (host.contains(":") ? "[" + host + "]" : host)
                        + ":"
                        + address.getPort());
    }

    private static String errorLine(ApiReply reply) {
        return TextLine.ofError(reply.read(ErrorBody.class));
    }
}
