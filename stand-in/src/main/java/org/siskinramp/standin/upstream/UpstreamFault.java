package org.siskinramp.standin.upstream;

/** A fault that a backend server injects into its answers. */
public enum UpstreamFault {
    /** It answers as it should. */
    NONE,
    /** It runs the request and closes the connection without an answer. */
    LOSE_ANSWER,
    /** It runs the request and never answers. */
    HANG,
    /**
     * It has room for three quarters of its slots only. It starts to run each further request and
     * closes the connection at once.
     */
    RESET_WHEN_FULL,
    /** It answers that it is overloaded and has not run the request. */
    SHED,
    /** It sends an endless body, as fast as the client reads it. */
    ENDLESS_BODY,
    /** It sends an endless body, one byte at a time with pauses. */
    ENDLESS_TRICKLE,
    /** It sends an endless header. */
    ENDLESS_HEAD,
    /** It answers successfully, but without the signature header. */
    NO_SIGNATURE,
    /** It answers successfully, but with the identifier of another request. */
    OTHER_REQUEST,
    /** It announces the whole body and closes the connection after its first bytes. */
    SHORT_BODY,
    /**
     * It runs the request and answers 503. The header that proves that a request was not run is
     * missing, so that the status must not be taken as such a proof.
     */
    FALSE_PROMISE,
    /**
     * It answers as it should, but on a connection that was used before it sends another refusal
     * first, which names no request and is left over from nothing.
     */
    STRAY_REFUSAL
}
