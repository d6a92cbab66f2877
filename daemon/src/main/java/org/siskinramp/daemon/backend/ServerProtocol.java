package org.siskinramp.daemon.backend;

import java.util.List;
import org.siskinramp.attempt.Attempt;
import org.siskinramp.attempt.AttemptAnswer;
import org.siskinramp.attempt.LoadReport;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.daemon.exchange.ExchangeAnswer;
import org.siskinramp.daemon.exchange.IdentityCheck;
import org.siskinramp.request.Header;

/** Translates between attempts and what backend servers speak. */
public interface ServerProtocol {

    /**
     * Returns the headers of an attempt.
     *
     * @param attempt the attempt
     * @param leftMilliseconds how long its caller still waits
     * @return all headers to send
     */
    List<Header> requestHeaders(Attempt attempt, long leftMilliseconds);

    /**
     * Tells whether an answer belongs to an attempt.
     *
     * @param attempt the attempt
     * @param answer the answer that came on its connection
     * @return false for the answer to another request
     */
    boolean isAnswerTo(Attempt attempt, ExchangeAnswer answer);

    /**
     * Reads the answer to an attempt.
     *
     * @param attempt the attempt
     * @param answer its answer
     * @return the answer to pass on, with what the server told of itself
     * @throws org.siskinramp.attempt.AttemptException if the server did not run the request, or if
     *     the answer cannot be passed on
     */
    AttemptAnswer read(Attempt attempt, ExchangeAnswer answer);

    /**
     * Returns where a server tells its load.
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
     * @return what it told of itself
     * @throws org.siskinramp.attempt.AttemptException if it is no sound answer of this server
     */
    LoadReport readProbe(BackendServer server, ExchangeAnswer answer);

    /**
     * Returns how the start of a server is made sure of on a connection.
     *
     * @param expected the start that must get the request, or an empty string if any may
     * @return the check
     */
    IdentityCheck identityCheck(String expected);

    /**
     * Tells whether the close of the connection may end an answer that names no length.
     *
     * @return true if such an answer is whole
     */
    boolean isEndByCloseAllowed();
}
