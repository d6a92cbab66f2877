package org.siskinramp.daemon.backend;

import java.util.List;
import org.siskinramp.attempt.Attempt;
import org.siskinramp.attempt.AttemptAnswer;
import org.siskinramp.attempt.LoadReport;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.daemon.exchange.AnswerAttribution;
import org.siskinramp.daemon.exchange.ExchangeAnswer;
import org.siskinramp.daemon.exchange.IdentityCheck;
import org.siskinramp.request.Header;

/** Maps attempts and probes to and from the HTTP headers that backend servers use. */
public interface ServerProtocol {

    /**
     * Returns the headers of an attempt.
     *
     * @param attempt the attempt
     * @param remainingMilliseconds the time until the attempt times out
     * @return all headers to send
     */
    List<Header> requestHeaders(Attempt attempt, long remainingMilliseconds);

    /**
     * Returns how an answer relates to an attempt.
     *
     * @param attempt the attempt
     * @param answer the answer received on the connection of the attempt
     * @return whether the answer belongs to the attempt
     */
    AnswerAttribution attribute(Attempt attempt, ExchangeAnswer answer);

    /**
     * Returns whether an answer to a probe is certainly that. If not, the connection is not used
     * again, since the answer to the probe may follow.
     *
     * @param answer the answer received on the connection of a probe
     * @return false if the answer may belong to another request
     */
    boolean isProbeAnswer(ExchangeAnswer answer);

    /**
     * Returns whether the connection may be used for another request after an answer. It must not
     * if the same answer, sent again by a faulty server, would count as the answer to that request.
     *
     * @param answer the answer to an attempt
     * @return false if the connection must be closed
     */
    boolean isConnectionReusableAfter(ExchangeAnswer answer);

    /**
     * Reads the answer to an attempt.
     *
     * @param attempt the attempt
     * @param answer its answer
     * @return the answer to forward to the caller, with the load report of the server
     * @throws org.siskinramp.attempt.AttemptException if the server did not run the request, or if
     *     the answer cannot be forwarded
     */
    AttemptAnswer read(Attempt attempt, ExchangeAnswer answer);

    /**
     * Returns the target at which a server reports its load.
     *
     * @param server the server
     * @return the target of a {@code GET}
     */
    String probeTarget(BackendServer server);

    /**
     * Reads the answer to a probe.
     *
     * @param server the server
     * @param answer its answer
     * @return the load report
     * @throws org.siskinramp.attempt.AttemptException if it is not a valid answer of this server
     */
    LoadReport readProbe(BackendServer server, ExchangeAnswer answer);

    /**
     * Returns the check that a connection leads to the expected server process.
     *
     * @param expected the boot identity of the server process that must get the request, or an
     *     empty string if any process may get it
     * @return the check
     */
    IdentityCheck identityCheck(String expected);

    /**
     * Returns whether answers may be close-delimited (without {@code Content-Length} and not
     * chunked).
     *
     * @return true if such an answer counts as complete
     */
    boolean isCloseDelimitedAllowed();
}
