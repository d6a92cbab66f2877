package org.siskinramp.workspace;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/**
 * Decides which workspace a request belongs to, by the key that it bears. An unknown key is refused
 * for good only while the table of workspaces is up to date: an operator may have added the key
 * since the table was read, and callers do not retry a request that was refused for good.
 */
public final class KeyVerifier {

    private static final String SCHEME = "bearer ";

    /** By then an outdated table has usually been read again. */
    private static final long RETRY_DELAY_MILLISECONDS = 500;

    private final long maximumAgeToRefuseMilliseconds;
    private final long maximumAgeToAcceptMilliseconds;
    private final LongSupplier tableAgeMilliseconds;

    /**
     * Creates a verifier.
     *
     * @param maximumAgeToRefuseMilliseconds up to which age, in milliseconds, the table proves that
     *     no workspace holds a key
     * @param maximumAgeToAcceptMilliseconds up to which age, in milliseconds, the table proves that
     *     a workspace holds a key; {@link Long#MAX_VALUE} for any age
     * @param tableAgeMilliseconds returns the time since the table was read, in milliseconds
     */
    public KeyVerifier(
            long maximumAgeToRefuseMilliseconds,
            long maximumAgeToAcceptMilliseconds,
            LongSupplier tableAgeMilliseconds) {
        this.maximumAgeToRefuseMilliseconds = maximumAgeToRefuseMilliseconds;
        this.maximumAgeToAcceptMilliseconds = maximumAgeToAcceptMilliseconds;
        this.tableAgeMilliseconds = tableAgeMilliseconds;
    }

    /**
     * Finds the workspace of a request.
     *
     * @param workspaces the workspaces, empty if callers need no keys
     * @param isPublic whether the route of the request needs no key
     * @param credentials the values of the Authorization header of the request
     * @return the workspace, empty if the request needs no key
     * @throws ResultException with {@code KEY_UNKNOWN} if no workspace holds the key or there is
     *     none, with {@code KEYS_OUTDATED} if this cannot be told at the moment, with {@code
     *     REQUEST_INVALID} if the header is given more than once
     */
    public Optional<Workspace> verify(
            Optional<WorkspaceTable> workspaces, boolean isPublic, List<String> credentials) {
        if (workspaces.isEmpty() || isPublic) {
            return Optional.empty();
        }
        if (credentials.size() > 1) {
            throw new ResultException(
                    ResultCode.REQUEST_INVALID, "Authorization is given more than once");
        }
        long ageMilliseconds = tableAgeMilliseconds.getAsLong();
        Optional<Workspace> owner =
                credentials.stream()
                        .flatMap(value -> keyOf(value).stream())
                        .findFirst()
                        .flatMap(key -> workspaces.get().findByKey(KeyDigest.of(key)));
        long maximumAgeMilliseconds =
                owner.isPresent() ? maximumAgeToAcceptMilliseconds : maximumAgeToRefuseMilliseconds;
        if (ageMilliseconds > maximumAgeMilliseconds) {
            throw new ResultException(
                    ResultCode.KEYS_OUTDATED,
                    "table_age_ms=" + ageMilliseconds,
                    RETRY_DELAY_MILLISECONDS);
        }
        if (owner.isEmpty()) {
            throw new ResultException(
                    ResultCode.KEY_UNKNOWN, "key_given=" + !credentials.isEmpty());
        }
        return owner;
    }

    private static Optional<String> keyOf(String value) {
        String stripped = value.strip();
        if (!stripped.toLowerCase(Locale.ROOT).startsWith(SCHEME)) {
            return Optional.empty();
        }
        String key = stripped.substring(SCHEME.length()).strip();
        return key.isEmpty() ? Optional.empty() : Optional.of(key);
    }
}
