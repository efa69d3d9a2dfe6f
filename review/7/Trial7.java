import java.util.List;
import java.util.Map;

/** A job that names a job which was cancelled long ago, submitted at a controller that has been asked nothing since. */
final class Trial7 {
    private Trial7() {}

    public static void main(String[] args) {
        Platform.Site site = new Platform.Site();
        Jobs jobs = new Jobs(site.cancelS);
        Platform platform = new Platform(site, jobs);
        Trial.run(args, jobs, () -> play(platform, jobs));
    }

    private static boolean play(Platform platform, Jobs jobs) {
        if (!Trial.startAll(platform, 4)) return false;
        Http.sleep(2_000);
        String leader = platform.leader();
        List<String> others = platform.members.stream().filter(member -> !member.equals(leader)).toList();
        String first = others.get(0);
        String second = others.get(1);
        Record.say("leader " + leader + ", the user's node " + first + ", later " + second);

        // The user submits the first job of the pipeline and asks about it, over a connection to one node.
        User user = new User(platform, "user");
        Jobs.Job import1 = jobs.add(Jobs.sweep("wk-000001", "folha-ops", "timesheet-import", 2, 100), 100);
        Http.Answer accepted = user.submitUntilAnswered(first, import1);
        if (accepted == null || accepted.status() != 201) return false;
        for (int i = 0; i < 20 && !user.poll(first, import1.id).stage().equals("running"); i++) Http.sleep(500);
        if (!user.poll(first, import1.id).stage().equals("running")) return false;

        // Disruption: the user's node crashes and is back 4 s later. The user's connection is gone, the load balancer has given the user
        // another node, and there the user calls the job off.
        String node = first;
        if (Trial.TROUBLE) {
            platform.kill(first);
            node = second;
            Record.say("poll at " + node + ": " + user.poll(node, import1.id));
            Http.sleep(4_000);
            platform.start(first);
            if (!platform.awaitReady(20_000, first)) return false;
            Http.sleep(3_000);
        }
        Http.Answer aborted = user.abort(node, import1);
        for (int i = 0; i < 20 && !aborted.stage().equals("withdrawn"); i++) {
            Http.sleep(1_000);
            aborted = user.abort(node, import1);
        }
        if (!aborted.stage().equals("withdrawn")) return false;
        Record.say("told at " + node + " that " + import1.id + " is cancelled");
        // After cancel_s the user submits the next job of the pipeline, over a new connection to the first node.
        while (Record.seconds() < import1.cancelledAt + platform.site.cancelS + 3) Http.sleep(200);
        Map<String, Object> body = Jobs.sweep("wk-000002", "folha-ops", "payslip-calc", 2, 10);
        body.put("awaits", List.of(import1.id));
        Jobs.Job next = jobs.add(body, 10);
        double sentAt = Record.seconds();
        Http.Answer answer = new User(platform, "user").submitUntilAnswered(first, next);
        if (answer == null) return false;
        Record.say("submission of " + next.id + " at " + first + ", " + String.format("%.1f", sentAt - import1.cancelledAt) + " s after: " + answer);
        if (answer.status() != 200 && answer.status() != 201) return false;
        if (answer.stage().equals("pending") || answer.stage().equals("running"))
            jobs.breakRule("orphaned", next.id + " is called " + answer.stage() + " " + String.format("%.1f", sentAt - import1.cancelledAt) + " s after its user was told that " + import1.id + " is cancelled");
        for (String member : platform.members) Record.say("poll at " + member + ": " + new User(platform, "user").poll(member, next.id));
        return true;
    }
}
