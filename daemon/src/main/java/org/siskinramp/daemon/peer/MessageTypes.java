package org.siskinramp.daemon.peer;

import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.siskinramp.peer.AllowanceAsk;
import org.siskinramp.peer.AllowanceChange;
import org.siskinramp.peer.ColdSighting;
import org.siskinramp.peer.ConfigurationAsk;
import org.siskinramp.peer.ConfigurationNotice;
import org.siskinramp.peer.ConfigurationPush;
import org.siskinramp.peer.CrashReport;
import org.siskinramp.peer.FeedAsk;
import org.siskinramp.peer.FeedNews;
import org.siskinramp.peer.Heartbeat;
import org.siskinramp.peer.LoanAsk;
import org.siskinramp.peer.LoanGrant;
import org.siskinramp.peer.LoanReturn;
import org.siskinramp.peer.OperatorDelta;
import org.siskinramp.peer.OperatorNews;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.peer.QuarantineNews;
import org.siskinramp.peer.QuotaAsk;
import org.siskinramp.peer.QuotaGrant;
import org.siskinramp.peer.QuotaSurplus;
import org.siskinramp.peer.RolloutNews;
import org.siskinramp.peer.RoutesAsk;
import org.siskinramp.peer.SlotRelease;
import org.siskinramp.peer.SuspectRequest;

/**
 * Maps message types to their numbers on the wire. A number is never reused for another type.
 *
 * <p>13, 14, 15 and 18 were messages with versions that had no era, 20 one without software
 * versions, 21 one without workspaces.
 */
final class MessageTypes {

    private static final Map<Class<? extends PeerMessage>, Integer> NUMBERS_BY_TYPE =
            Map.ofEntries(
                    Map.entry(Heartbeat.class, 1),
                    Map.entry(LoanAsk.class, 2),
                    Map.entry(LoanGrant.class, 3),
                    Map.entry(LoanReturn.class, 4),
                    Map.entry(SlotRelease.class, 5),
                    Map.entry(AllowanceChange.class, 6),
                    Map.entry(ColdSighting.class, 7),
                    Map.entry(ConfigurationNotice.class, 8),
                    Map.entry(SuspectRequest.class, 9),
                    Map.entry(AllowanceAsk.class, 10),
                    Map.entry(ConfigurationPush.class, 11),
                    Map.entry(ConfigurationAsk.class, 12),
                    Map.entry(CrashReport.class, 16),
                    Map.entry(QuarantineNews.class, 17),
                    Map.entry(FeedAsk.class, 19),
                    Map.entry(FeedNews.class, 28),
                    Map.entry(OperatorNews.class, 23),
                    Map.entry(OperatorDelta.class, 24),
                    Map.entry(RolloutNews.class, 29),
                    Map.entry(RoutesAsk.class, 22),
                    Map.entry(QuotaSurplus.class, 25),
                    Map.entry(QuotaAsk.class, 26),
                    Map.entry(QuotaGrant.class, 27),
                    Map.entry(Hello.class, 100),
                    Map.entry(Receipt.class, 101));

    private static final Map<Integer, Class<? extends PeerMessage>> TYPES_BY_NUMBER =
            NUMBERS_BY_TYPE.entrySet().stream()
                    .collect(Collectors.toUnmodifiableMap(Map.Entry::getValue, Map.Entry::getKey));

    private MessageTypes() {}

    static int numberOf(Class<? extends PeerMessage> type) {
        Integer number = NUMBERS_BY_TYPE.get(type);
        if (number == null) {
            throw new IllegalArgumentException("no message type number for " + type.getName());
        }
        return number;
    }

    static Optional<Class<? extends PeerMessage>> typeOf(int number) {
        return Optional.ofNullable(TYPES_BY_NUMBER.get(number));
    }
}
