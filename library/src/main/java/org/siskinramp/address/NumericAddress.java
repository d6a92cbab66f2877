package org.siskinramp.address;

import java.util.List;
import java.util.regex.Pattern;

/**
 * Checks addresses of the form {@code ip:port}, with IPv4 in dotted decimal notation or IPv6 in
 * brackets. Names are not resolved and no other notations are accepted, so that an address that
 * passes can be connected to without a further check.
 */
public final class NumericAddress {

    private static final int MAXIMUM_PORT = 65_535;
    private static final int MAXIMUM_OCTET = 255;
    private static final int IPV4_OCTETS = 4;
    private static final int IPV6_GROUPS = 8;

    /** An IPv4 address at the end of an IPv6 address takes the place of two groups. */
    private static final int GROUPS_OF_IPV4 = 2;

    private static final Pattern DECIMAL = Pattern.compile("0|[1-9][0-9]{0,4}");
    private static final Pattern HEXADECIMAL_GROUP = Pattern.compile("[0-9A-Fa-f]{1,4}");
    private static final Pattern DOT = Pattern.compile("\\.");
    private static final Pattern COLON = Pattern.compile(":");
    private static final String ELISION = "::";

    private NumericAddress() {}

    /**
     * Tells whether a text is an address with a port from 1 to 65,535.
     *
     * @param text the text
     * @return true if it is of the form {@code 10.0.0.1:80} or {@code [fd00::1]:80}
     */
    public static boolean isValid(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0 || !isPort(text.substring(colon + 1))) {
            return false;
        }
        String host = text.substring(0, colon);
        boolean bracketed = host.startsWith("[") && host.endsWith("]");
        return bracketed ? isIpv6(host.substring(1, host.length() - 1)) : isIpv4(host);
    }

    private static boolean isPort(String text) {
        return isDecimal(text, MAXIMUM_PORT) && !text.equals("0");
    }

    private static boolean isDecimal(String text, int maximum) {
        return DECIMAL.matcher(text).matches() && Integer.parseInt(text) <= maximum;
    }

    private static boolean isIpv4(String text) {
        List<String> octets = split(DOT, text);
        return octets.size() == IPV4_OCTETS
                && octets.stream().allMatch(octet -> isDecimal(octet, MAXIMUM_OCTET));
    }

    private static boolean isIpv6(String text) {
        int elision = text.indexOf(ELISION);
        if (elision < 0) {
            return countGroups(text, true) == IPV6_GROUPS;
        }
        String head = text.substring(0, elision);
        String tail = text.substring(elision + ELISION.length());
        int headGroups = head.isEmpty() ? 0 : countGroups(head, false);
        int tailGroups = tail.isEmpty() ? 0 : countGroups(tail, true);
        return headGroups >= 0 && tailGroups >= 0 && headGroups + tailGroups < IPV6_GROUPS;
    }

    /** Returns the number of 16-bit groups, or a negative number if one is malformed. */
    private static int countGroups(String text, boolean mayEndWithIpv4) {
        List<String> groups = split(COLON, text);
        int last = groups.size() - 1;
        boolean endsWithIpv4 = mayEndWithIpv4 && isIpv4(groups.get(last));
        List<String> hexadecimal = endsWithIpv4 ? groups.subList(0, last) : groups;
        boolean valid =
                hexadecimal.stream().allMatch(group -> HEXADECIMAL_GROUP.matcher(group).matches());
        return valid ? hexadecimal.size() + (endsWithIpv4 ? GROUPS_OF_IPV4 : 0) : -1;
    }

    private static List<String> split(Pattern separator, String text) {
        return List.of(separator.split(text, -1));
    }
}
