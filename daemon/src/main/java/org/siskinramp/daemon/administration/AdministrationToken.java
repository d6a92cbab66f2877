package org.siskinramp.daemon.administration;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** The bearer token that authenticates operators to the administration API. */
public final class AdministrationToken {

    /** The minimum length of a token, in characters. */
    public static final int MINIMUM_LENGTH_CHARACTERS = 16;

    private static final String SCHEME = "Bearer ";

    private final String secret;

    private AdministrationToken(String secret) {
        this.secret = secret;
    }

    /**
     * Reads the token from a file. Leading and trailing white space is ignored.
     *
     * @param file the file
     * @return the token
     * @throws ResultException with {@link ResultCode#FILE_UNREADABLE} if the file cannot be read or
     *     does not contain a valid token
     */
    public static AdministrationToken read(Path file) {
        String text;
        try {
            text = Files.readString(file).strip();
        } catch (IOException failure) {
            throw new ResultException(ResultCode.FILE_UNREADABLE, "token file " + file, failure);
        }
        if (text.length() < MINIMUM_LENGTH_CHARACTERS
                || !text.chars().allMatch(character -> character > ' ' && character < 127)) {
            throw new ResultException(
                    ResultCode.FILE_UNREADABLE,
                    "token file "
                            + file
                            + " must contain one word of at least "
                            + MINIMUM_LENGTH_CHARACTERS
                            + " visible ASCII characters");
        }
        return new AdministrationToken(text);
    }

    /**
     * Returns the value of the Authorization header with this token.
     *
     * @return the header value
     */
    public String authorization() {
        return SCHEME + secret;
    }

    /** Checks the Authorization header in constant time, to prevent timing attacks on the token. */
    boolean accepts(String authorization) {
        return authorization != null
                && MessageDigest.isEqual(
                        authorization.getBytes(StandardCharsets.UTF_8),
                        authorization().getBytes(StandardCharsets.UTF_8));
    }
}
