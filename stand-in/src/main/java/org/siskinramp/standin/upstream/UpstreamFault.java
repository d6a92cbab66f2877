package org.siskinramp.standin.upstream;

/** Says how a backend server treats the requests that it runs. */
public enum UpstreamFault {
    /** It answers. */
    NONE,
    /** It runs the request and cuts the connection. */
    LOSE_ANSWER,
    /** It runs the request and never answers. */
    HANG,
    /** It answers without running the request, since it is full. */
    SHED,
    /** Its answer's body goes on without end, as fast as it is read. */
    ENDLESS_BODY,
    /** Its answer's body goes on without end, a byte at a time. */
    ENDLESS_TRICKLE,
    /** The head of its answer goes on without end. */
    ENDLESS_HEAD,
    /** It answers a success without its signature. */
    NO_SIGNATURE,
    /** It answers with the identifier of another request. */
    OTHER_REQUEST,
    /** It cuts its answer short. */
    SHORT_BODY,
    /** It promises that the request has not run, though it has. */
    FALSE_PROMISE
}
