package org.siskinramp.daemon.commandline;

import org.siskinramp.daemon.administration.AdministrationJson;
import org.siskinramp.daemon.administration.query.HostStatus;
import org.siskinramp.daemon.administration.query.PeerStatus;
import org.siskinramp.daemon.administration.query.ServiceStatus;
import org.siskinramp.log.LogEvent;

/** Shows the state of an entry host, of its peers and of its services. */
final class StatusCommand extends AdministrationCommand {

    @Override
    ApiReply exchange(AdministrationClient client) {
        return client.query("status");
    }

    @Override
    String describe(String body) {
        HostStatus status = AdministrationJson.read(body, HostStatus.class);
        StringBuilder text = new StringBuilder(hostLine(status));
        status.peers().forEach(peer -> text.append('\n').append(peerLine(peer)));
        status.services().forEach(service -> text.append('\n').append(serviceLine(service)));
        return text.toString();
    }

    private static String hostLine(HostStatus status) {
        return TextLine.of(
                LogEvent.named("host")
                        .with("name", status.host())
                        .with("availability_zone", status.availabilityZone())
                        .with("incarnation", status.incarnation())
                        .with("ready", status.ready())
                        .with("authority", status.authority())
                        .with("configuration_version", status.configurationVersion())
                        .with("view_version", status.viewVersion())
                        .with("requests_in_progress", status.requestsInProgress()));
    }

    private static String peerLine(PeerStatus peer) {
        return TextLine.of(
                LogEvent.named("peer")
                        .with("host", peer.host())
                        .with("heard_ago_ms", peer.heardAgoMilliseconds())
                        .with("suspected", peer.suspected())
                        .with("configuration_version", peer.configurationVersion()));
    }

    private static String serviceLine(ServiceStatus service) {
        return TextLine.of(
                LogEvent.named("service")
                        .with("name", service.service())
                        .with("held_slots", service.heldSlots())
                        .with("busy_slots", service.busySlots())
                        .with("waiting_requests", service.waitingRequests()));
    }
}
